#include "direct/RouterPeers.h"

#include "core/Log.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// A router that is silent for this long gets reports only now and then.
constexpr seconds silence{3};
constexpr unsigned roundsPerTry = 10;
// Routers that are cut off still send to servers, so they count for a while.
constexpr seconds countedTime{60};

} // namespace

void RouterPeers::onListed(const DaemonId &router, const Endpoint &datagrams)
{
    peers_[router].datagrams = datagrams;
}

void RouterPeers::onHeard(const DaemonId &router, const Endpoint &datagrams, TimePoint now)
{
    Peer &peer = peers_[router];
    if (peer.lastHeard == TimePoint() || now - peer.lastHeard > silence)
        logInfo(LogPart::Membership, "event=router-heard router=", router,
                " address=", toString(datagrams));
    peer = Peer{datagrams, now};
}

void RouterPeers::onLeaving(const DaemonId &router)
{
    if (peers_.erase(router) > 0)
        logInfo(LogPart::Membership, "event=router-leaving router=", router);
}

std::vector<Endpoint> RouterPeers::targets(TimePoint now)
{
    if (round_++ % roundsPerTry != 0)
        return heard(now);
    std::vector<Endpoint> endpoints;
    for (const auto &[router, peer] : peers_)
        endpoints.push_back(peer.datagrams);
    return endpoints;
}

std::vector<Endpoint> RouterPeers::heard(TimePoint now) const
{
    std::vector<Endpoint> endpoints;
    for (const auto &[router, peer] : peers_) {
        if (peer.lastHeard != TimePoint() && now - peer.lastHeard < silence)
            endpoints.push_back(peer.datagrams);
    }
    return endpoints;
}

std::size_t RouterPeers::liveCount(TimePoint now) const
{
    const auto live = std::count_if(peers_.begin(), peers_.end(), [now](const auto &entry) {
        return entry.second.lastHeard != TimePoint() && now - entry.second.lastHeard < countedTime;
    });
    return static_cast<std::size_t>(live) + 1;
}

} // namespace lovagecourse
