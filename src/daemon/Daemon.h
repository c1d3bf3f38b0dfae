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

/// Common part of entries and agents: datagram socket, gossip with peers, configuration, host list
/// and admin server.
class Daemon
{
public:
    /// Callbacks of the role; all must be set.
    struct Handlers
    {
        /// The configuration changed.
        std::function<void(const ConfigurationState &)> onConfiguration;
        /// A datagram other than gossip arrived.
        std::function<void(const DaemonId &sender, Message &&message)> onDatagram;
        /// The platform's host list was read.
        std::function<void()> onHostList;
        /// SIGTERM or SIGINT was received.
        std::function<void()> onTerminate;
        /// Adds the role's fields to the status page.
        std::function<void(nlohmann::json &)> fillStatus;
        std::function<bool()> isReady;
    };

    /// Opens all sockets and starts the daemon, or returns why a socket could not be opened.
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
    /// Counts the bytes kept for clients, servers and links; null if the settings don't limit them.
    MemoryAccount *memory();
    const WireContext &wire() const;
    Incarnation incarnation() const;
    HttpClient &http();
    LogClient &log();
    DatagramSocket &datagrams();
    PeerTable &peers();
    SuspectList &suspects();
    ConfigurationFollower &configuration();
    /// True when the platform's host list marks the host as leaving.
    bool isHostLeaving(const HostId &host) const;
    /// True when the host list was last read less than 1.5 s ago.
    bool isHostListFresh() const;
    /// Address to use for an endpoint: its replacement in setting "via", or the endpoint itself.
    Endpoint translateAddress(const Endpoint &endpoint) const;
    /// Marks this daemon as leaving in its gossip and as not ready.
    void setLeaving();
    /// Answers a request for an admin page; returns false for any other path.
    bool answerAdmin(HttpGateway &gateway, const CallerRequest &request);

private:
    struct Impl;
    explicit Daemon(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
