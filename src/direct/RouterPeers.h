#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "wire/Endpoint.h"

#include <map>
#include <vector>

namespace lovagecourse {

/// The other routers: where they are and when they were heard of.
class RouterPeers
{
public:
    /// The store lists the router.
    void onListed(const DaemonId &router, const Endpoint &datagrams);
    /// A datagram of the router came.
    void onHeard(const DaemonId &router, const Endpoint &datagrams, TimePoint now);
    /// The router stops; its later datagrams don't bring it back.
    void onLeaving(const DaemonId &router);
    /// Addresses for the next report: routers that were heard of, and all listed ones in rounds
    /// that try whether the others are back.
    std::vector<Endpoint> targets(TimePoint now);
    /// Addresses of the routers that were heard of in the last seconds.
    std::vector<Endpoint> heard(TimePoint now) const;
    /// Routers heard of within the last minute, with this one.
    std::size_t liveCount(TimePoint now) const;

private:
    struct Peer
    {
        Endpoint datagrams;
        TimePoint lastHeard;
    };

    std::map<DaemonId, Peer> peers_;
    unsigned round_ = 0;
};

} // namespace lovagecourse
