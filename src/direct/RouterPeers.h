#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "placing/WarmingShare.h"
#include "wire/Endpoint.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagecourse {

/// The other routers of the fleet: their datagram addresses and when they were last heard. Routers
/// of one data centre report to each other directly; one of them, the relay, exchanges their sum
/// with the other data centres, so that the cost of a router depends on its data centre's requests
/// and not on the number of all routers. A router is active for 3 seconds and live for 60 seconds
/// after it was heard.
class RouterPeers
{
public:
    RouterPeers() = default;
    RouterPeers(DaemonId self, DataCentreId dataCentre, std::uint16_t processorPermille);

    /// The store has a record of the router. A router of an older version has no data centre there;
    /// it is treated as one of this data centre.
    void onRegistered(const DaemonId &router, const Endpoint &datagramEndpoint,
                      const std::optional<DataCentreId> &dataCentre = std::nullopt);
    /// A load report of the router arrived.
    void onReportReceived(const DaemonId &router, const Endpoint &datagramEndpoint, TimePoint now);
    /// A presence of the router arrived. Returns whether it was inactive before.
    bool onPresence(const DaemonId &router, const Endpoint &datagramEndpoint,
                    std::uint16_t processorPermille, TimePoint now);
    /// The router reports that it shuts down: forgets it. Its later reports say the same, so they
    /// don't add it again.
    void onLeaving(const DaemonId &router);
    /// The sum of another data centre arrived, directly or forwarded.
    void onDataCentreReport(const DataCentreId &dataCentre, const Endpoint &relayEndpoint,
                            std::size_t routers, TimePoint now);

    /// Returns the addresses for the next full report: the active routers of this data centre, and
    /// in every tenth call all its known ones, so that inactive routers are found again.
    std::vector<Endpoint> targets(TimePoint now);
    /// Returns the addresses of the active routers of this data centre.
    std::vector<Endpoint> activePeers(TimePoint now) const;
    /// Returns the addresses of all known routers of this data centre.
    std::vector<Endpoint> knownPeers() const;
    /// Returns one address in each other data centre: its relay, or while its relay is not heard,
    /// another of its routers in each call.
    std::vector<Endpoint> relayTargets(TimePoint now);
    /// True when this router is the relay of its data centre: the one with the largest processor
    /// share, and among equal ones with the lowest name.
    bool isRelay(TimePoint now) const;
    /// True when the router is known to be in this data centre.
    bool isMember(const DaemonId &router) const;
    /// True when the router is known to be in another data centre.
    bool isInOtherDataCentre(const DaemonId &router) const;
    /// Returns the number of live routers of the fleet, including this one.
    std::size_t liveCount(TimePoint now) const;
    /// Returns the number of routers that were heard or are registered, including this one.
    std::size_t knownCount() const { return peers_.size() + 1; }
    /// The other known routers of this data centre, and when they were last heard.
    std::vector<RouterSighting> memberSightings() const;
    /// The registered routers of the other data centres.
    std::map<DataCentreId, std::vector<RouterHash>> remoteRouters() const;
    /// Returns the number of live routers of this data centre, including this one.
    std::size_t memberCount(TimePoint now) const;

private:
    struct Peer
    {
        Endpoint datagramEndpoint;
        TimePoint lastHeard;
        /// Empty when unknown.
        std::optional<DataCentreId> dataCentre;
        std::uint16_t processorPermille = 0;
    };

    /// Another data centre.
    struct Remote
    {
        Endpoint relayEndpoint;
        TimePoint lastReport;
        std::size_t routers = 0;
        std::size_t attempts = 0;
    };

    Peer &hear(const DaemonId &router, const Endpoint &datagramEndpoint, TimePoint now);
    bool isLocal(const Peer &peer) const;
    static bool isActive(const Peer &peer, TimePoint now);

    DaemonId self_;
    DataCentreId dataCentre_;
    std::uint16_t processorPermille_ = 0;
    std::map<DaemonId, Peer> peers_;
    std::map<DataCentreId, Remote> remotes_;
    unsigned round_ = 0;
};

} // namespace lovagecourse
