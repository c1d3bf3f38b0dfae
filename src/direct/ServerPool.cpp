#include "direct/ServerPool.h"

#include <xxhash.h>

#include <algorithm>

namespace lovagecourse {

namespace {

// Reports of peers older than this say nothing about the load now.
constexpr milliseconds reportTimeout{1000};
// Assumed for a server of which nothing is known; a usual plain service answers in this time.
constexpr double unknownBaseMs = 60;
// Used when the configuration does not tell the fleet's speed: a middle-sized engine.
constexpr double unknownMsPerToken = 0.02;
// Reports must fit into one datagram.
constexpr std::size_t maxReportedPrefixes = 24;

} // namespace

std::uint32_t reportHash(const std::string &id)
{
    return XXH32(id.data(), id.size(), 0);
}

ServerPool::ServerPool(DataCentreId dataCentre)
    : dataCentre_(std::move(dataCentre))
{}

void ServerPool::setConfiguration(std::shared_ptr<const DirectConfiguration> configuration)
{
    configuration_ = std::move(configuration);
}

ServerPool::Server *ServerPool::find(const ServerId &id)
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
}

double ServerPool::cacheTokens(const ServiceId &service) const
{
    if (!configuration_)
        return 0;
    const auto found = configuration_->services.find(service);
    return found == configuration_->services.end() ? 0 : found->second.cacheTokens;
}

std::size_t ServerPool::count(const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(servers_.begin(), servers_.end(), [&](const auto &server) {
                return server.second.entry.service == service && !server.second.entry.isDraining;
            }));
}

/// Mean of the servers that have answered, so that a new server starts with what is known.
ServerSpeed ServerPool::initialSpeed(const ServiceId &service) const
{
    ServerSpeed sum;
    double known = 0;
    for (const auto &[id, server] : servers_) {
        if (server.entry.service != service)
            continue;
        sum.baseMs += server.model.speed().baseMs;
        sum.msPerToken += server.model.speed().msPerToken;
        known += 1;
    }
    if (known > 0)
        return ServerSpeed{sum.baseMs / known, sum.msPerToken / known};
    return ServerSpeed{unknownBaseMs, unknownMsPerToken};
}

void ServerPool::apply(const ServerChange &change)
{
    Server *server = find(change.id);
    if (!change.entry) {
        if (server) {
            byHash_.erase(reportHash(change.id.value));
            servers_.erase(change.id);
        }
        return;
    }
    const ServerEntry &entry = *change.entry;
    if (!server) {
        servers_.emplace(change.id,
                         Server{entry, ServerModel(initialSpeed(entry.service)), {}, 0, {}});
        byHash_[reportHash(change.id.value)] = change.id;
        return;
    }
    const bool restarted =
            server->entry.startedMs != entry.startedMs || server->entry.address != entry.address;
    if (restarted) {
        server->cache.clear();
        server->model.onReachable();
    }
    server->entry = entry;
}

PeerLoad ServerPool::peerLoad(const Server &server, TimePoint now) const
{
    PeerLoad sum;
    for (const auto &[peer, report] : server.peers) {
        if (now - report.received > reportTimeout)
            continue;
        sum.backlogTokens += report.load.backlogTokens;
        sum.running += report.load.running;
    }
    return sum;
}

void ServerPool::applyReport(const std::string &peer, const RouterReport &report, TimePoint now)
{
    for (const RouterServerLoad &load : report.servers) {
        const auto known = byHash_.find(load.server);
        Server *server = known == byHash_.end() ? nullptr : find(known->second);
        if (!server)
            continue;
        PeerReport &last = server->peers[peer];
        if (last.sentTokens != 0 && load.sentTokens > last.sentTokens)
            server->cache.advance(static_cast<double>(load.sentTokens - last.sentTokens));
        last.received = now;
        last.load.backlogTokens = load.backlogTokens;
        last.load.running = load.running;
        last.sentTokens = load.sentTokens;
    }
    for (const RouterSentPrefix &sent : report.prefixes) {
        const auto known = byHash_.find(sent.server);
        if (Server *server = known == byHash_.end() ? nullptr : find(known->second))
            server->cache.insertSeen(sent.prefix);
    }
}

void ServerPool::fillReport(RouterReport &report, TimePoint now)
{
    for (auto &[id, server] : servers_) {
        if (server.sentTokens == 0 && server.model.running() == 0)
            continue;
        RouterServerLoad load;
        load.server = reportHash(id.value);
        load.backlogTokens = static_cast<std::uint32_t>(server.model.backlogTokens(now));
        load.sentTokens = server.sentTokens;
        load.running = static_cast<std::uint16_t>(server.model.running());
        report.servers.push_back(load);
    }
    const std::size_t count = std::min(unreported_.size(), maxReportedPrefixes);
    report.prefixes.assign(unreported_.begin(),
                           unreported_.begin() + static_cast<std::ptrdiff_t>(count));
    unreported_.erase(unreported_.begin(),
                      unreported_.begin() + static_cast<std::ptrdiff_t>(count));
}

std::optional<Placement> ServerPool::choose(const PlacementRequest &request, TimePoint now) const
{
    const double capacity = cacheTokens(request.service);
    std::vector<PlacementCandidate> candidates;
    std::vector<const Server *> servers;
    std::vector<double> unread;
    for (const auto &[id, server] : servers_) {
        const bool fits = server.entry.service == request.service && !server.entry.isDraining
                          && !request.excluded.contains(id);
        if (!fits)
            continue;
        const double kept = server.cache.keptTokens(request.prompt, capacity);
        const double tokens = std::max(0., request.promptTokens - kept);
        PlacementCandidate candidate;
        candidate.server = id;
        candidate.waitMs = server.model.waitMs(peerLoad(server, now), server.entry.slots, now);
        candidate.readMs = tokens * server.model.speed().msPerToken;
        candidate.baseMs = server.model.speed().baseMs;
        candidate.failureShare = server.model.failureShare();
        candidate.isLocal = server.entry.dataCentre == dataCentre_;
        candidate.isAvoided = server.model.isAvoided(now);
        candidates.push_back(std::move(candidate));
        servers.push_back(&server);
        unread.push_back(tokens);
    }
    const std::uint64_t promptHash = request.prompt.empty() ? 0 : request.prompt.front().hash;
    const auto best = choosePlacement(candidates, promptHash, request.objectiveMs);
    if (!best)
        return std::nullopt;
    return Placement{candidates[*best].server, servers[*best]->entry.address, unread[*best],
                     candidates[*best], candidates.size()};
}

SendNumber ServerPool::onSent(const Placement &placement, const std::vector<PromptPrefix> &prompt,
                              TimePoint now)
{
    Server *server = find(placement.server);
    if (!server)
        return 0;
    const double capacity = cacheTokens(server->entry.service);
    if (!prompt.empty()) {
        // The last part belongs to one request or session, which no other daemon asks about.
        for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
            if (server->cache.keptTokens({prompt[i]}, capacity) == 0)
                unreported_.push_back({reportHash(placement.server.value), prompt[i].hash});
        }
        server->cache.insert(prompt, capacity);
    }
    server->sentTokens += static_cast<std::uint64_t>(placement.unreadTokens);
    return server->model.onSent(placement.unreadTokens, peerLoad(*server, now), server->entry.slots,
                                now);
}

void ServerPool::onFirstByte(const ServerId &server, SendNumber number, TimePoint now)
{
    if (Server *known = find(server)) {
        known->model.onFirstByte(number, now);
        known->model.onReachable();
    }
}

void ServerPool::onEnded(const ServerId &server, SendNumber number, TimePoint now)
{
    if (Server *known = find(server))
        known->model.onEnded(number, now);
}

void ServerPool::onOutcome(const ServerId &server, bool failed)
{
    if (Server *known = find(server))
        known->model.onOutcome(failed);
}

void ServerPool::onUnreachable(const ServerId &server, TimePoint now)
{
    if (Server *known = find(server))
        known->model.onUnreachable(now);
}

double ServerPool::usualFirstByteMs(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.model.speed().baseMs;
}

} // namespace lovagecourse
