#include "direct/RouterPeers.h"

#include "core/Log.h"
#include "wire/ReportHash.h"

#include <algorithm>
#include <tuple>

namespace lovagecourse {

namespace {

// A router that was not heard for this long gets reports only in probe rounds.
constexpr seconds activeTimeout{3};
// A relay is heard every second at least; it is replaced after this time.
constexpr milliseconds relayTimeout{1500};
// Every tenth round is a probe round, which sends to all known routers.
constexpr unsigned roundsPerProbe = 10;
// Routers behind a network partition still send to servers, so they count as live for a while.
constexpr seconds liveTimeout{60};
// Relays report several times in this time. After it, other routers of the data centre are tried.
constexpr milliseconds remoteTimeout{600};

bool isWithin(TimePoint heard, std::chrono::nanoseconds time, TimePoint now)
{
    return heard != TimePoint() && now - heard < time;
}

} // namespace

RouterPeers::RouterPeers(DaemonId self, DataCentreId dataCentre, std::uint16_t processorPermille)
    : self_(std::move(self))
    , dataCentre_(std::move(dataCentre))
    , processorPermille_(processorPermille)
{}

bool RouterPeers::isLocal(const Peer &peer) const
{
    return !peer.dataCentre || *peer.dataCentre == dataCentre_;
}

bool RouterPeers::isActive(const Peer &peer, TimePoint now)
{
    return isWithin(peer.lastHeard, activeTimeout, now);
}

void RouterPeers::onRegistered(const DaemonId &router, const Endpoint &datagramEndpoint,
                               const std::optional<DataCentreId> &dataCentre)
{
    Peer &peer = peers_[router];
    peer.datagramEndpoint = datagramEndpoint;
    if (!dataCentre)
        return;
    peer.dataCentre = dataCentre;
    if (*dataCentre != dataCentre_)
        remotes_.try_emplace(*dataCentre);
}

RouterPeers::Peer &RouterPeers::hear(const DaemonId &router, const Endpoint &datagramEndpoint,
                                     TimePoint now)
{
    Peer &peer = peers_[router];
    if (!isActive(peer, now))
        logInfo(LogPart::Membership, "event=router-heard router=", router,
                " address=", toString(datagramEndpoint));
    peer.datagramEndpoint = datagramEndpoint;
    peer.lastHeard = now;
    return peer;
}

void RouterPeers::onReportReceived(const DaemonId &router, const Endpoint &datagramEndpoint,
                                   TimePoint now)
{
    hear(router, datagramEndpoint, now);
}

bool RouterPeers::onPresence(const DaemonId &router, const Endpoint &datagramEndpoint,
                             std::uint16_t processorPermille, TimePoint now)
{
    const auto known = peers_.find(router);
    const bool wasInactive = known == peers_.end() || !isActive(known->second, now);
    Peer &peer = hear(router, datagramEndpoint, now);
    peer.dataCentre = dataCentre_;
    peer.processorPermille = processorPermille;
    return wasInactive;
}

void RouterPeers::onLeaving(const DaemonId &router)
{
    if (peers_.erase(router) > 0)
        logInfo(LogPart::Membership, "event=router-leaving router=", router);
}

void RouterPeers::onDataCentreReport(const DataCentreId &dataCentre, const Endpoint &relayEndpoint,
                                     std::size_t routers, TimePoint now)
{
    Remote &remote = remotes_[dataCentre];
    if (remote.relayEndpoint != relayEndpoint)
        logInfo(LogPart::Membership, "event=remote-relay data_centre=", dataCentre,
                " address=", toString(relayEndpoint), " routers=", routers);
    remote.relayEndpoint = relayEndpoint;
    remote.lastReport = now;
    remote.routers = routers;
}

std::vector<Endpoint> RouterPeers::targets(TimePoint now)
{
    return round_++ % roundsPerProbe == 0 ? knownPeers() : activePeers(now);
}

std::vector<Endpoint> RouterPeers::activePeers(TimePoint now) const
{
    std::vector<Endpoint> endpoints;
    for (const auto &[router, peer] : peers_) {
        if (isLocal(peer) && isActive(peer, now))
            endpoints.push_back(peer.datagramEndpoint);
    }
    return endpoints;
}

std::vector<Endpoint> RouterPeers::knownPeers() const
{
    std::vector<Endpoint> endpoints;
    for (const auto &[router, peer] : peers_) {
        if (isLocal(peer))
            endpoints.push_back(peer.datagramEndpoint);
    }
    return endpoints;
}

std::vector<Endpoint> RouterPeers::relayTargets(TimePoint now)
{
    std::vector<Endpoint> endpoints;
    for (auto &[dataCentre, remote] : remotes_) {
        if (isWithin(remote.lastReport, remoteTimeout, now)) {
            endpoints.push_back(remote.relayEndpoint);
            continue;
        }
        std::vector<Endpoint> candidates;
        for (const auto &[router, peer] : peers_) {
            if (peer.dataCentre == dataCentre)
                candidates.push_back(peer.datagramEndpoint);
        }
        if (remote.lastReport != TimePoint())
            candidates.push_back(remote.relayEndpoint);
        if (!candidates.empty())
            endpoints.push_back(candidates[remote.attempts++ % candidates.size()]);
    }
    return endpoints;
}

bool RouterPeers::isRelay(TimePoint now) const
{
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto &entry) {
        const auto &[router, peer] = entry;
        const bool isCandidate =
                peer.dataCentre == dataCentre_ && isWithin(peer.lastHeard, relayTimeout, now);
        return isCandidate
               && std::tuple(-peer.processorPermille, router)
                          < std::tuple(-processorPermille_, self_);
    });
}

bool RouterPeers::isMember(const DaemonId &router) const
{
    const auto found = peers_.find(router);
    return found != peers_.end() && found->second.dataCentre == dataCentre_;
}

bool RouterPeers::isInOtherDataCentre(const DaemonId &router) const
{
    const auto found = peers_.find(router);
    return found != peers_.end() && !isLocal(found->second);
}

std::size_t RouterPeers::memberCount(TimePoint now) const
{
    const auto live = std::count_if(peers_.begin(), peers_.end(), [&](const auto &entry) {
        return isLocal(entry.second) && isWithin(entry.second.lastHeard, liveTimeout, now);
    });
    return static_cast<std::size_t>(live) + 1;
}

std::vector<RouterSighting> RouterPeers::memberSightings() const
{
    std::vector<RouterSighting> sightings;
    for (const auto &[router, peer] : peers_) {
        if (isLocal(peer))
            sightings.push_back(RouterSighting{reportHash(router.value), peer.lastHeard});
    }
    return sightings;
}

std::map<DataCentreId, std::vector<RouterHash>> RouterPeers::remoteRouters() const
{
    std::map<DataCentreId, std::vector<RouterHash>> routers;
    for (const auto &[router, peer] : peers_) {
        if (!isLocal(peer))
            routers[*peer.dataCentre].push_back(reportHash(router.value));
    }
    return routers;
}

std::size_t RouterPeers::liveCount(TimePoint now) const
{
    std::size_t count = memberCount(now);
    for (const auto &[dataCentre, remote] : remotes_) {
        if (isWithin(remote.lastReport, liveTimeout, now))
            count += remote.routers;
    }
    return count;
}

} // namespace lovagecourse
