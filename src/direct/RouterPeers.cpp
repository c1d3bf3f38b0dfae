#include "direct/RouterPeers.h"

#include "core/Log.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// A router from which no report arrived for this long gets reports only in probe rounds.
constexpr seconds activeTimeout{3};
// Every tenth round is a probe round, which sends to all known routers.
constexpr unsigned roundsPerProbe = 10;
// Routers behind a network partition still send to servers, so they count as live for a while.
constexpr seconds liveTimeout{60};

} // namespace

void RouterPeers::onRegistered(const DaemonId &router, const Endpoint &datagramEndpoint)
{
    peers_[router].datagramEndpoint = datagramEndpoint;
}

void RouterPeers::onReportReceived(const DaemonId &router, const Endpoint &datagramEndpoint,
                                   TimePoint now)
{
    Peer &peer = peers_[router];
    if (peer.lastReport == TimePoint() || now - peer.lastReport > activeTimeout)
        logInfo(LogPart::Membership, "event=router-heard router=", router,
                " address=", toString(datagramEndpoint));
    peer = Peer{datagramEndpoint, now};
}

void RouterPeers::onLeaving(const DaemonId &router)
{
    if (peers_.erase(router) > 0)
        logInfo(LogPart::Membership, "event=router-leaving router=", router);
}

std::vector<Endpoint> RouterPeers::targets(TimePoint now)
{
    if (round_++ % roundsPerProbe != 0)
        return activePeers(now);
    std::vector<Endpoint> endpoints;
    for (const auto &[router, peer] : peers_)
        endpoints.push_back(peer.datagramEndpoint);
    return endpoints;
}

std::vector<Endpoint> RouterPeers::activePeers(TimePoint now) const
{
    std::vector<Endpoint> endpoints;
    for (const auto &[router, peer] : peers_) {
        if (peer.lastReport != TimePoint() && now - peer.lastReport < activeTimeout)
            endpoints.push_back(peer.datagramEndpoint);
    }
    return endpoints;
}

std::size_t RouterPeers::liveCount(TimePoint now) const
{
    const auto live = std::count_if(peers_.begin(), peers_.end(), [now](const auto &entry) {
        return entry.second.lastReport != TimePoint()
               && now - entry.second.lastReport < liveTimeout;
    });
    return static_cast<std::size_t>(live) + 1;
}

} // namespace lovagecourse
