#include "membership/PeerTable.h"

#include <algorithm>
#include <iterator>

namespace lovagecourse {

namespace {

// A datagram holds 17 entries, so a heartbeat needs several rounds to reach a fleet of 40 when a
// fifth of the datagrams is lost; at 5 s, running peers were taken as dead. Nothing that must be
// faster depends on it: agents and entries see each other by their links.
constexpr seconds liveTime{10};
// In a larger fleet, a heartbeat is heard of less often; a daemon hears of about 25 heartbeats a
// second, so that the mean wait per peer stays below a sixth of the live time.
constexpr milliseconds liveTimePerPeer{250};
// Longer than an old heartbeat can be on its way, so that a forgotten peer does not come back.
constexpr seconds minMemoryTime{60};

/// True when the entry is news about the same daemon.
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
    // The newest heartbeats are news to the most peers; random picks left more running daemons
    // taken as dead.
    std::shuffle(live.begin(), live.end(), random);
    std::stable_sort(live.begin(), live.end(), [](const Peer *left, const Peer *right) {
        return left->lastAdvance > right->lastAdvance;
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
    // A daemon that was cut off takes all peers as dead; it finds back through those it remembers.
    std::vector<PeerEntry> remembered;
    for (const auto &[daemon, peer] : peers_)
        if (!peer.live)
            remembered.push_back(peer.entry);
    std::sample(remembered.begin(), remembered.end(), std::back_inserter(chosen),
                count - chosen.size(), random);
    std::vector<Endpoint> targets;
    targets.reserve(chosen.size());
    for (const PeerEntry &entry : chosen)
        targets.push_back(entry.datagramEndpoint);
    return targets;
}

std::vector<DaemonId> PeerTable::liveEntries() const
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
    const auto scaledLiveTime = liveTimePerPeer * peers_.size();
    const auto currentLiveTime = std::max<std::chrono::nanoseconds>(liveTime, scaledLiveTime);
    const auto memoryTime = std::max<std::chrono::nanoseconds>(minMemoryTime, 2 * scaledLiveTime);
    for (auto &[daemon, peer] : peers_)
        peer.live = peer.live && now - peer.lastAdvance < currentLiveTime;
    std::erase_if(peers_,
                  [&](const auto &known) { return now - known.second.lastAdvance >= memoryTime; });
}

} // namespace lovagecourse
