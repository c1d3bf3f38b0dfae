#pragma once

#include "core/Metrics.h"
#include "daemon/ConfigurationFollower.h"
#include "gateway/HttpGateway.h"
#include "http/HttpClient.h"
#include "membership/PeerTable.h"
#include "platform/LogClient.h"
#include "routing/SuspectList.h"
#include "settings/DaemonSettings.h"
#include "wire/DatagramSocket.h"
#include "wire/Link.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <set>
#include <variant>

namespace lovagecourse {

/// What entries and agents have in common: sockets, peers, configuration, host list, admin pages.
class Daemon
{
public:
    /// What the role adds.
    struct Handlers
    {
        std::function<void(const ConfigurationState &)> onConfiguration;
        /// Datagrams other than gossip.
        std::function<void(const DaemonId &sender, Message &&message)> onDatagram;
        /// The platform's host list was read.
        std::function<void()> onHosts;
        /// SIGTERM or SIGINT came.
        std::function<void()> onTerminate;
        /// Fills the role's part of the status page.
        std::function<void(nlohmann::json &)> fillStatus;
        std::function<bool()> isReady;
    };

    /// A daemon with all its sockets open, or why one could not be opened.
    static std::variant<std::unique_ptr<Daemon>, SocketFailure>
    open(EventLoop &loop, const Clock &clock, DaemonSettings settings, Handlers handlers);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    EventLoop &loop();
    const Clock &clock() const;
    TimePoint now() const;
    Metrics &metrics();
    const DaemonSettings &settings() const;
    const WireContext &wire() const;
    Incarnation incarnation() const;
    HttpClient &http();
    LogClient &log();
    DatagramSocket &datagrams();
    PeerTable &peers();
    SuspectList &suspects();
    ConfigurationFollower &configuration();
    /// True when the host list names the host as leaving.
    bool isHostLeaving(const HostId &host) const;
    /// True when the host list was read within the last reading intervals.
    bool isHostListFresh() const;
    /// Address to use for an endpoint, after the settings' replacements.
    Endpoint route(const Endpoint &endpoint) const;
    /// Tells peers that this daemon leaves.
    void setLeaving();
    /// Answers an admin request; false when the path is not an admin page.
    bool answerAdmin(HttpGateway &gateway, const CallerRequest &request);

private:
    struct Impl;
    explicit Daemon(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
