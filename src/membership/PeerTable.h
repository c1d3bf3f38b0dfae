#pragma once

#include "core/Clock.h"
#include "wire/Messages.h"

#include <cstddef>
#include <map>
#include <random>
#include <vector>

namespace lovagecourse {

/// One daemon's view of the other daemons of the fleet and whether they are live, based on
/// heartbeats that spread by gossip.
class PeerTable
{
public:
    explicit PeerTable(PeerEntry self);

    /// Updates the entry that this daemon gossips about itself.
    void setSelf(LogOffset configurationOffset, bool leaving);
    /// Increments this daemon's heartbeat and returns the entries to send: its own first, then
    /// those of the live peers whose heartbeats advanced most recently, ties in random order.
    std::vector<PeerEntry> gossipEntries(std::size_t maxEntries, std::mt19937_64 &random);
    /// Merges entries received from another daemon. A known peer is updated only by a newer
    /// incarnation, or by a higher heartbeat of the same incarnation.
    void merge(const std::vector<PeerEntry> &entries, TimePoint now);
    /// Endpoints of up to `count` random live peers to gossip with. Random dead peers are added if
    /// there are fewer live ones.
    std::vector<Endpoint> gossipTargets(std::size_t count, std::mt19937_64 &random) const;
    /// Names of the live daemons with role Entry, including this daemon if it has that role;
    /// sorted.
    std::vector<DaemonId> liveEntryDaemons() const;
    /// Entries of the live peers, not including this daemon.
    std::vector<PeerEntry> livePeers() const;
    /// Datagram endpoint of a live peer; null if the peer is unknown or dead.
    const Endpoint *findEndpoint(const DaemonId &daemon) const;
    /// Marks peers without a new heartbeat for 10 s (or 250 ms per known peer, if that is longer)
    /// as dead, and removes them after 60 s (or 500 ms per known peer, if that is longer).
    void expire(TimePoint now);

private:
    struct Peer
    {
        PeerEntry entry;
        TimePoint lastHeartbeatAt;
        bool live = true;
    };

    PeerEntry self_;
    std::map<DaemonId, Peer> peers_;
};

} // namespace lovagecourse
