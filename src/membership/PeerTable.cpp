#include "membership/PeerTable.h"

#include <algorithm>
#include <iterator>

namespace lovagecourse {

namespace {

// A datagram holds 17 entries, so a heartbeat takes several gossip rounds to reach a fleet of 40
// when a fifth of the datagrams is lost. With 5 s, running peers were considered dead. Nothing that
// needs faster failure detection uses this timeout: agents and entry daemons detect each other's
// failure by their links.
constexpr seconds minLivenessTimeout{10};
// A daemon receives about 25 new heartbeats a second, so in a larger fleet those of one peer arrive
// less often. This keeps the mean interval per peer below a sixth of the liveness timeout.
constexpr milliseconds livenessTimeoutPerPeer{250};
// Longer than an old heartbeat can be in transit, so that a removed peer does not reappear.
constexpr seconds minForgetTimeout{60};

/// True if the entry is newer than the known one of the same daemon.
bool isNewer(const PeerEntry &entry, const PeerEntry &known)
{
    if (entry.incarnation != known.incarnation)
        return entry.incarnation > known.incarnation;
    return entry.heartbeat > known.heartbeat;
}

} // namespace

PeerTable::PeerTable(PeerEntry self)
    : self_(std::move(self))
{}

void PeerTable::setSelf(LogOffset configurationOffset, bool leaving)
{
    self_.configurationOffset = configurationOffset;
    self_.leaving = leaving;
}

std::vector<PeerEntry> PeerTable::gossipEntries(std::size_t maxEntries, std::mt19937_64 &random)
{
    ++self_.heartbeat;
    std::vector<PeerEntry> entries;
    if (maxEntries == 0)
        return entries;
    entries.push_back(self_);
    std::vector<const Peer *> live;
    for (const auto &[daemon, peer] : peers_)
        if (peer.live)
            live.push_back(&peer);
    // The most recent heartbeats are new to the most peers. With a random choice, more running
    // daemons were considered dead.
    std::shuffle(live.begin(), live.end(), random);
    std::stable_sort(live.begin(), live.end(), [](const Peer *left, const Peer *right) {
        return left->lastHeartbeatAt > right->lastHeartbeatAt;
    });
    live.resize(std::min(live.size(), maxEntries - 1));
    for (const Peer *peer : live)
        entries.push_back(peer->entry);
    return entries;
}

void PeerTable::merge(const std::vector<PeerEntry> &entries, TimePoint now)
{
    for (const PeerEntry &entry : entries) {
        if (entry.daemon == self_.daemon)
            continue;
        const auto [found, added] = peers_.try_emplace(entry.daemon, Peer{entry, now});
        if (added || !isNewer(entry, found->second.entry))
            continue;
        found->second = Peer{entry, now};
    }
}

std::vector<Endpoint> PeerTable::gossipTargets(std::size_t count, std::mt19937_64 &random) const
{
    const std::vector<PeerEntry> live = livePeers();
    std::vector<PeerEntry> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), count, random);
    // After a network partition, a daemon considers all peers dead; it rejoins through the dead
    // peers that are still in the table.
    std::vector<PeerEntry> dead;
    for (const auto &[daemon, peer] : peers_)
        if (!peer.live)
            dead.push_back(peer.entry);
    std::sample(dead.begin(), dead.end(), std::back_inserter(chosen), count - chosen.size(),
                random);
    std::vector<Endpoint> targets;
    targets.reserve(chosen.size());
    for (const PeerEntry &entry : chosen)
        targets.push_back(entry.datagramEndpoint);
    return targets;
}

std::vector<DaemonId> PeerTable::liveEntryDaemons() const
{
    std::vector<DaemonId> names;
    if (self_.role == DaemonRole::Entry)
        names.push_back(self_.daemon);
    for (const auto &[daemon, peer] : peers_)
        if (peer.live && peer.entry.role == DaemonRole::Entry)
            names.push_back(daemon);
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<PeerEntry> PeerTable::livePeers() const
{
    std::vector<PeerEntry> entries;
    for (const auto &[daemon, peer] : peers_)
        if (peer.live)
            entries.push_back(peer.entry);
    return entries;
}

const Endpoint *PeerTable::findEndpoint(const DaemonId &daemon) const
{
    const auto found = peers_.find(daemon);
    if (found == peers_.end() || !found->second.live)
        return nullptr;
    return &found->second.entry.datagramEndpoint;
}

void PeerTable::expire(TimePoint now)
{
    const auto scaledTimeout = livenessTimeoutPerPeer * peers_.size();
    const auto livenessTimeout =
            std::max<std::chrono::nanoseconds>(minLivenessTimeout, scaledTimeout);
    const auto forgetTimeout =
            std::max<std::chrono::nanoseconds>(minForgetTimeout, 2 * scaledTimeout);
    for (auto &[daemon, peer] : peers_)
        peer.live = peer.live && now - peer.lastHeartbeatAt < livenessTimeout;
    std::erase_if(peers_, [&](const auto &known) {
        return now - known.second.lastHeartbeatAt >= forgetTimeout;
    });
}

} // namespace lovagecourse
