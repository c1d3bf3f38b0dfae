#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "wire/Messages.h"

#include <set>
#include <vector>

namespace lovagecourse {

/// While the log is unavailable, a daemon becomes ready no earlier than this after its start,
/// because the state of the first peer that answers may be outdated.
constexpr seconds peerDiscoveryTime{3};

/// Selects the configured peers that a starting daemon contacts to learn the newest configuration:
/// all of them at its start, then again those that have not answered, until the discovery time is
/// over. Handles a start during an outage of the log, in which random gossip may reach the peer
/// with the newest state only after the daemon is ready. At most maxContacts datagrams are sent, or
/// one to each peer if there are more.
class PeerDiscovery
{
public:
    static constexpr std::size_t maxContacts = 768;

    PeerDiscovery(const std::vector<Endpoint> &configuredPeers, const Endpoint &self,
                  TimePoint started);

    /// Peers to contact now; empty if a contact is not due.
    std::vector<Endpoint> takeTargets(TimePoint now);
    /// A peer that has a configuration has told its offset.
    void onAnswer(const Endpoint &peer);
    /// True if no more contacts will be due.
    bool isOver(TimePoint now) const;
    std::size_t unansweredCount() const { return unanswered_.size(); }

private:
    std::set<Endpoint> unanswered_;
    TimePoint started_;
    std::chrono::nanoseconds interval_;
    TimePoint nextContactAt_;
};

/// Whether a daemon replies at once to the gossip of a peer. It does if its configuration is newer;
/// the peer may be starting, and must not become ready without it. Both sides never reply to each
/// other in turn, because only one of them is newer.
bool shouldReplyToGossip(LogOffset own, LogOffset peer);

} // namespace lovagecourse
