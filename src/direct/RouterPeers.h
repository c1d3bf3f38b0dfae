#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "wire/Endpoint.h"

#include <map>
#include <vector>

namespace lovagecourse {

/// The other routers of the fleet: their datagram addresses and when they last sent a report. A
/// router is active for 3 seconds and live for 60 seconds after a report.
class RouterPeers
{
public:
    /// The store has a record of the router.
    void onRegistered(const DaemonId &router, const Endpoint &datagramEndpoint);
    /// A load report of the router arrived.
    void onReportReceived(const DaemonId &router, const Endpoint &datagramEndpoint, TimePoint now);
    /// The router reports that it shuts down: forgets it. Its later reports say the same, so they
    /// don't add it again.
    void onLeaving(const DaemonId &router);
    /// Returns the addresses for the next full report: the active routers, and in every tenth call
    /// all known ones, so that inactive routers are found again.
    std::vector<Endpoint> targets(TimePoint now);
    /// Returns the addresses of the active routers.
    std::vector<Endpoint> activePeers(TimePoint now) const;
    /// Returns the number of live routers, including this one.
    std::size_t liveCount(TimePoint now) const;

private:
    struct Peer
    {
        Endpoint datagramEndpoint;
        TimePoint lastReport;
    };

    std::map<DaemonId, Peer> peers_;
    unsigned round_ = 0;
};

} // namespace lovagecourse
