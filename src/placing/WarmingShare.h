#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace lovagecourse {

/// Hash of a router's name.
using RouterHash = std::uint32_t;

/// The routers among which the requests to warming servers are divided.
struct WarmingView
{
    RouterHash self = 0;
    /// False while this router has not heard enough of the others to know its share; then it sends
    /// nothing to warming servers.
    bool isKnown = false;
    /// By data centre: the live routers of this router's own, with it, and the registered ones of
    /// the others.
    std::map<DataCentreId, std::vector<RouterHash>> routers;

    bool operator==(const WarmingView &) const = default;
};

// Routers that send to one warming server. Each of them may send one request at once on top of its
// rate; with two, even two disjoint views of the routers together stay within the bound:
// 2 x (2 + 0.75 x rate) = 1.5 x rate + 4 requests in a second, where 1.5 x rate + 5 are allowed.
constexpr std::size_t routersPerWarmingServer = 2;
constexpr double usedWarmingRate = 0.75;

/// Returns the part of a warming server's rate that this router may use, from 0 to 1: an equal part
/// if a rendezvous hash over the routers of the server's data centre selects it for this run, else
/// 0. Routers of other data centres send only to servers whose data centre has no routers. Handles
/// many servers that return at the same time, each of which crashes under the requests that all
/// routers together would send to an idle server.
double warmingShare(const WarmingView &view, const DataCentreId &dataCentre, std::uint64_t run);

/// Returns how much later than the others this router stops limiting a server that has warmed up.
/// Spread over a second by a hash, so that the number of routers that send freely, and with it the
/// rate, grows over that time.
std::chrono::nanoseconds warmingRamp(RouterHash self, std::uint64_t run);

/// Another router of this data centre.
struct RouterSighting
{
    RouterHash router = 0;
    /// TimePoint() if it is registered and was never heard.
    TimePoint lastHeard;
};

/// Which routers of this data centre count as live for warmingShare(). A router that has just
/// started, or was suspended, knows nothing until it has heard most of the others. A router that
/// hears no majority of its last view is cut off and keeps that view for a minute, because the
/// others may use their shares still.
class LiveRouters
{
public:
    /// Call it several times a second. areRegisteredKnown: members contains the registered routers.
    void update(const std::vector<RouterSighting> &members, bool areRegisteredKnown, TimePoint now);
    /// False until most of the members were heard since the start or the last suspension.
    bool isKnown() const { return isKnown_; }
    /// The live routers apart from this one, in the order of their hashes.
    const std::vector<RouterHash> &live() const { return live_; }

private:
    TimePoint startedAt_;
    TimePoint updatedAt_;
    bool isKnown_ = false;
    std::vector<RouterHash> live_;
};

} // namespace lovagecourse
