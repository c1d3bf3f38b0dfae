#include "membership/PeerDiscovery.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// The state of a peer that becomes reachable within the discovery time is fetched before its end.
constexpr milliseconds minContactInterval{250};
constexpr std::size_t maxRounds = peerDiscoveryTime / minContactInterval;
// Larger fleets contact the peers that have not answered less often, which bounds the datagrams.
constexpr std::size_t peersPerInterval = PeerDiscovery::maxContacts / maxRounds;

} // namespace

PeerDiscovery::PeerDiscovery(const std::vector<Endpoint> &configuredPeers, const Endpoint &self,
                             TimePoint started)
    : unanswered_(configuredPeers.begin(), configuredPeers.end())
    , started_(started)
    , nextContactAt_(started)
{
    unanswered_.erase(self);
    const std::size_t factor = (unanswered_.size() + peersPerInterval - 1) / peersPerInterval;
    interval_ = minContactInterval * std::max<std::size_t>(1, factor);
}

std::vector<Endpoint> PeerDiscovery::takeTargets(TimePoint now)
{
    if (isOver(now) || now < nextContactAt_)
        return {};
    nextContactAt_ = now + interval_;
    return {unanswered_.begin(), unanswered_.end()};
}

void PeerDiscovery::onAnswer(const Endpoint &peer)
{
    unanswered_.erase(peer);
}

bool PeerDiscovery::isOver(TimePoint now) const
{
    return unanswered_.empty() || now - started_ >= peerDiscoveryTime;
}

bool shouldReplyToGossip(LogOffset own, LogOffset peer)
{
    return own > peer;
}

} // namespace lovagecourse
