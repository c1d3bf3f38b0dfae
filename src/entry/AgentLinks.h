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

/// This entry's links to the agents of all backend servers.
class AgentLinks
{
public:
    struct Handlers
    {
        /// The agent told its state: after the link came up, on change and as a heartbeat.
        std::function<void(const ServerId &)> onState;
        std::function<void(const ServerId &)> onDown;
        std::function<void(const ServerId &, Message &&)> onMessage;
    };

    AgentLinks(Daemon &daemon, Handlers handlers);

    /// Connects to the agents of the configuration's servers.
    void onConfiguration(const ConfigurationState &state);
    /// Sends to a server's agent; dropped when the link is down.
    void send(const ServerId &server, Message message);
    void sendToAll(const Message &message);
    /// Servers that offer the service and, unless it is empty, the model.
    std::vector<Candidate> candidates(const ServiceId &service, const ModelId &model) const;
    /// True when some server in the configuration could run it, usable now or not.
    bool isServed(const ServiceId &service, const ModelId &model) const;
    /// Datagram address of an agent that is linked.
    std::optional<Endpoint> datagramEndpoint(const DaemonId &agent) const;
    bool isUsable(const ServerId &server) const;
    /// Servers in the configuration.
    std::size_t candidateCount() const;
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
    /// Tells an agent that its server leaves when it may be unable to hear it from the platform.
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
