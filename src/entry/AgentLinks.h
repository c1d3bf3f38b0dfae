#pragma once

#include "configuration/ConfigurationState.h"
#include "daemon/Daemon.h"
#include "routing/CandidateChoice.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lovagecourse {

/// This entry's links to the agents of all backend servers in the configuration, with the agents'
/// latest states. Reconnects lost links; drops links of agents that send nothing for 3 s.
class AgentLinks
{
public:
    struct Handlers
    {
        /// The agent sent its state: when the link came up, on change or as a heartbeat.
        std::function<void(const ServerId &)> onState;
        std::function<void(const ServerId &)> onDown;
        std::function<void(const ServerId &, Message &&)> onMessage;
    };

    AgentLinks(Daemon &daemon, Handlers handlers);

    /// Connects to the agents of new servers; reconnects where an agent's address changed.
    void onConfiguration(const ConfigurationState &state);
    /// Sends a message to a server's agent; drops it when the link is down.
    void send(const ServerId &server, Message message);
    void sendToAll(const Message &message);
    /// Usable servers that serve the service and, unless it is empty, the model.
    std::vector<Candidate> candidates(const ServiceId &service, const ModelId &model) const;
    /// True when a server in the configuration serves the service and model, usable now or not.
    bool isServed(const ServiceId &service, const ModelId &model) const;
    /// Datagram address of an agent; empty when its link is down.
    std::optional<Endpoint> datagramEndpoint(const DaemonId &agent) const;
    /// True when the link is up, the server answers and neither server nor host is leaving.
    bool isUsable(const ServerId &server) const;
    /// Servers that are or were in the configuration since the process started.
    std::size_t serverCount() const;
    void fillStatus(nlohmann::json &page) const;

private:
    struct AgentLink
    {
        BackendServer server;
        std::unique_ptr<Link> link;
        bool inConfiguration = false;
        std::optional<Hello> hello;
        std::optional<AgentState> state;
        TimePoint retryAt;
    };

    bool isUsable(const AgentLink &agent) const;
    /// Sends a leave notice when the server or host is leaving and the agent does not report that,
    /// for example because it can't reach the platform.
    void sendLeaveNotice(const AgentLink &agent);
    void connect(AgentLink &agent);
    void onClosed(const ServerId &server, const LinkFailure &failure);
    void onMessage(const ServerId &server, Message &&message);
    void onTick();

    Daemon &daemon_;
    Handlers handlers_;
    std::map<ServerId, AgentLink> agents_;
    Timer tick_;
};

} // namespace lovagecourse
