#pragma once

#include "core/Clock.h"
#include "wire/Messages.h"

#include <cstddef>
#include <map>
#include <random>
#include <vector>

namespace lovagecourse {

/// Daemons of the fleet, known by heartbeats that spread by gossip.
class PeerTable
{
public:
    explicit PeerTable(PeerEntry self);

    /// Changes what is told of this daemon.
    void setSelf(LogOffset configurationOffset, bool leaving);
    /// Counts the own heartbeat and picks entries to tell: self first, then live peers with the
    /// newest heartbeats, equal ones in random order.
    std::vector<PeerEntry> gossipEntries(std::size_t maxEntries, std::mt19937_64 &random);
    /// Takes entries from another daemon; only a higher heartbeat of the newest incarnation counts.
    void merge(const std::vector<PeerEntry> &entries, TimePoint now);
    /// Random live peers to gossip with; filled up with remembered dead ones when too few live.
    std::vector<Endpoint> gossipTargets(std::size_t count, std::mt19937_64 &random) const;
    /// Names of the live entries, this daemon included when it is one; sorted.
    std::vector<DaemonId> liveEntries() const;
    /// Live peers without this daemon.
    std::vector<PeerEntry> livePeers() const;
    /// Datagram address of a live peer; null when it is not known.
    const Endpoint *findEndpoint(const DaemonId &daemon) const;
    /// Takes peers without a new heartbeat for 10 s (or 250 ms per known peer, if that is longer)
    /// as dead, and forgets them after a minute or twice that time.
    void expire(TimePoint now);

private:
    struct Peer
    {
        PeerEntry entry;
        TimePoint lastAdvance;
        bool live = true;
    };

    PeerEntry self_;
    std::map<DaemonId, Peer> peers_;
};

} // namespace lovagecourse
