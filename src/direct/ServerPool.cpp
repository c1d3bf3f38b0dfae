#include "direct/ServerPool.h"

#include "core/Log.h"
#include "placing/FairPlacement.h"
#include "placing/SlotServers.h"
#include "wire/ReportHash.h"

#include <xxhash.h>

#include <algorithm>

namespace lovagecourse {

namespace {

// Sends with less prefill time don't change other routers' choices; the next full report contains
// them.
constexpr double minReportedPrefillMs = 15;

} // namespace

ServerPool::ServerPool(DataCentreId dataCentre)
    : dataCentre_(std::move(dataCentre))
{}

void ServerPool::setConfiguration(std::shared_ptr<const DirectConfiguration> configuration,
                                  TimePoint now)
{
    configuration_ = std::move(configuration);
    hasWarmingLimits_ = std::any_of(configuration_->services.begin(),
                                    configuration_->services.end(), [](const auto &entry) {
                                        return entry.second.warmingTime.count() > 0
                                               && entry.second.warmingRate > 0;
                                    });
    for (auto &[id, server] : servers_)
        updateWarmingShare(server, now);
}

void ServerPool::setListTime(TimePoint asOf)
{
    listTime_ = asOf;
    for (auto &[id, server] : servers_)
        onListRead(server.warming, asOf);
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

double ServerPool::meanRequestTokens(const ServiceId &service) const
{
    const auto found = meanRequestTokens_.find(service);
    return found == meanRequestTokens_.end() ? 0 : found->second.value();
}

std::size_t ServerPool::count(const ServiceId &service) const
{
    return static_cast<std::size_t>(
            std::count_if(servers_.begin(), servers_.end(), [&](const auto &server) {
                return server.second.entry.service == service && !server.second.entry.isDraining
                       && !server.second.words.leavingSince;
            }));
}

ServerRunHash ServerPool::runOf(const ServerId &server) const
{
    const auto found = servers_.find(server);
    const std::uint64_t started = found == servers_.end() ? 0 : found->second.entry.startedMs;
    return XXH64(server.value.data(), server.value.size(), started);
}

std::optional<ServerRunHash> ServerPool::registeredRun(const ServerId &server) const
{
    const auto found = servers_.find(server);
    const bool hasStart = found != servers_.end() && found->second.entry.startedMs != 0;
    return hasStart ? std::optional(runOf(server)) : std::nullopt;
}

unsigned ServerPool::running(const ServerId &server) const
{
    const auto found = servers_.find(server);
    return found == servers_.end() ? 0 : found->second.model.running();
}

/// Returns the learned speed of a service; its initial value is the fleet's token rate from the
/// configuration divided by the number of servers.
PrefillSpeed &ServerPool::speed(const ServiceId &service) const
{
    const auto found = speeds_.find(service);
    if (found != speeds_.end())
        return found->second;
    const double perSecond = configuration_ ? configuration_->fleetTokensPerSecond : 0;
    const double servers = static_cast<double>(std::max<std::size_t>(1, count(service)));
    return speeds_.emplace(service, PrefillSpeed(perSecond / servers / 1000)).first->second;
}

void ServerPool::apply(const RegistrationChange &change, TimePoint now)
{
    Server *server = find(change.id);
    if (!change.entry) {
        if (server) {
            logInfo(LogPart::Membership, "event=server-gone server=", change.id,
                    " running=", server->model.running());
            keepDeparted(change.id, *server, now);
            serversByHash_.erase(reportHash(change.id.value));
            serversByService_.clear();
            std::erase(unreportedServers_, server);
            std::erase(unrelayedServers_, server);
            prefixHolders_.remove(server);
            servers_.erase(change.id);
        }
        return;
    }
    const ServerEntry &entry = *change.entry;
    if (!server) {
        logInfo(LogPart::Membership, "event=server-added server=", change.id,
                " service=", entry.service, " version=", entry.version,
                " address=", toString(entry.address), " draining=", entry.isDraining);
        Server added;
        added.entry = entry;
        added.isEvacuated = evacuations_.isEvacuated(entry.dataCentre);
        added.model.setLoopDelay(toMs(loopDelay_));
        const auto position = servers_.emplace(change.id, std::move(added)).first;
        serversByHash_[reportHash(change.id.value)] = &position->second;
        serversByService_.clear();
        restoreDeparted(position->second, change, now);
        return;
    }
    const bool restarted =
            server->entry.startedMs != entry.startedMs || server->entry.address != entry.address;
    if (restarted) {
        server->cache.clear();
        server->memory.clear();
        server->model.onRestarted();
    }
    const bool isNewRun = server->entry.startedMs != entry.startedMs;
    if (isNewRun) {
        server->words = ServerWords();
        server->warming = WarmingState();
    }
    // A record that is read again would prolong the time.
    const bool isWarmingChanged = isNewRun || server->entry.warmingLeft != entry.warmingLeft;
    const bool isMoved = isNewRun || server->entry.dataCentre != entry.dataCentre
                         || server->entry.service != entry.service;
    if (restarted || server->entry.isDraining != entry.isDraining)
        logInfo(LogPart::Membership, "event=server-changed server=", change.id,
                " restarted=", restarted, " draining=", entry.isDraining,
                " backlog_ms=", server->model.backlogMs(now));
    if (server->entry.service != entry.service)
        serversByService_.clear();
    server->entry = entry;
    server->isEvacuated = evacuations_.isEvacuated(entry.dataCentre);
    if (isMoved)
        updateWarmingShare(*server, now);
    if (isWarmingChanged)
        onWarmingReported(server->warming, entry.warmingLeft, now);
    onRunShown(server->warming, change.writtenAfter);
}

/// Returns the servers of a service in the order of their ids.
const std::vector<const ServerPool::Server *> &ServerPool::serversOf(const ServiceId &service) const
{
    if (serversByService_.empty()) {
        for (const auto &[id, server] : servers_)
            serversByService_[server.entry.service].push_back(&server);
    }
    return serversByService_[service];
}

PlacementCandidate &ServerPool::Candidates::add(const Server &server, const PrefillWork &work)
{
    if (entries.size() == servers.size())
        entries.emplace_back();
    PlacementCandidate &added = entries[servers.size()];
    added.server = server.entry.id;
    servers.push_back(&server);
    works.push_back(work);
    return added;
}

void ServerPool::Candidates::clear()
{
    servers.clear();
    works.clear();
}

std::optional<Placement> ServerPool::choose(const PlacementRequest &request, TimePoint now) const
{
    const double capacity = cacheTokens(request.service);
    const double meanTokens = meanRequestTokens(request.service);
    const PrefillSpeed &serviceSpeed = speed(request.service);
    const std::vector<const Server *> &known = serversOf(request.service);
    candidates_.clear();
    const std::uint64_t placementNumber = ++lastPlacement_;
    if (!request.prompt.empty()) {
        for (const Server *holder : prefixHolders_.of(request.prompt.front().hash))
            holder->holderMark = placementNumber;
    }
    for (const Server *candidateServer : known) {
        const Server &server = *candidateServer;
        if (withheld(server, now) != Withheld::No || request.excluded.contains(server.entry.id))
            continue;
        if (request.version
            && versionHash(server.entry.service, server.entry.version) != *request.version)
            continue;
        const PeerLoad peers = server.peerLoads.sum(now);
        const double runningTokens =
                server.memory.runningTokens(peers.running, meanTokens, server.entry.slots);
        const double room = prefixCacheRoom(capacity, runningTokens);
        const double cachedTokens = server.holderMark == placementNumber
                                            ? server.cache.cachedTokens(request.prompt, room)
                                            : 0;
        const PrefillWork work{std::max(0., request.promptTokens - cachedTokens), cachedTokens};
        const double slowness = server.model.slowness(now);
        PlacementCandidate &candidate = candidates_.add(server, work);
        candidate.waitMs = server.model.waitMs(serviceSpeed, peers, server.entry.slots, now);
        candidate.prefillMs = serviceSpeed.prefillMs(work) * slowness;
        candidate.baseMs = serviceSpeed.baseMs() * slowness;
        candidate.spreadCostMs = 0;
        if (capacity <= 0) {
            const SlotLoad load{candidate.baseMs, server.model.running(), server.entry.slots};
            candidate.spreadCostMs = slotSpreadCostMs(load, server.entry.id, placementNumber);
        }
        candidate.failureRate = server.model.failureRate();
        candidate.isLocal = server.entry.dataCentre == dataCentre_;
        candidate.isInBackoff = server.model.isInBackoff(now);
        candidate.exceedsMemory =
                exceedsMemory(capacity, runningTokens, request.promptTokens, request.outputTokens);
    }
    const std::span<const PlacementCandidate> candidates = candidates_.all();
    const std::uint64_t promptHash = request.prompt.empty() ? 0 : request.prompt.front().hash;
    const auto best = request.isSecondChoice
                              ? chooseFastest(candidates, request.objectiveMs)
                              : choosePlacement(candidates, promptHash, request.objectiveMs);
    if (!best)
        return std::nullopt;
    double waitSum = 0;
    for (const PlacementCandidate &candidate : candidates)
        waitSum += std::min(candidate.waitMs, request.objectiveMs);
    Placement placement;
    placement.server = candidates[*best].server;
    placement.address = candidates_.servers[*best]->entry.address;
    placement.version = candidates_.servers[*best]->entry.version;
    placement.uncachedTokens = candidates_.works[*best].uncachedTokens;
    placement.cachedTokens = candidates_.works[*best].cachedTokens;
    placement.outputTokens = request.outputTokens;
    placement.prediction = candidates[*best];
    placement.candidateCount = candidates.size();
    placement.meanWaitMs = waitSum / static_cast<double>(candidates.size());
    if (listTime_)
        placement.listAge = now - *listTime_;
    return placement;
}

SendNumber ServerPool::onSent(const Placement &placement, const std::vector<PromptPrefix> &prompt,
                              TimePoint now)
{
    Server *server = find(placement.server);
    if (!server)
        return 0;
    const ServiceId &service = server->entry.service;
    const double capacity = cacheTokens(service);
    const PeerLoad peers = server->peerLoads.sum(now);
    if (!prompt.empty()) {
        // The last part is specific to one request or session; other routers have no use for it.
        for (std::size_t i = 0; i + 1 < prompt.size(); ++i) {
            if (!server->cache.shouldReport(prompt[i].hash, capacity))
                continue;
            const RouterSentPrefix sent{reportHash(placement.server.value), prompt[i].hash};
            unreportedPrefixes_.push_back(sent);
            if (isRelaying_)
                unrelayedPrefixes_.push_back(sent);
        }
        const double running = server->memory.runningTokens(
                peers.running, meanRequestTokens(service), server->entry.slots);
        server->cache.insert(prompt, prefixCacheRoom(capacity, running),
                             maxPrefixCacheRoom(capacity));
        addPrefixHolder(prompt.front().hash, *server);
    }
    const PrefillWork work{placement.uncachedTokens, placement.cachedTokens};
    if (speed(service).prefillMs(work) >= minReportedPrefillMs) {
        markUnreported(*server);
        markUnrelayed(*server);
    }
    takeRoom(server->words.limit, now);
    takeWarmingToken(server->warming, now);
    server->sentTokens += static_cast<std::uint32_t>(placement.uncachedTokens);
    const SendNumber number =
            server->model.onSent(speed(service), work, peers, server->entry.slots, now);
    if (capacity > 0) {
        const double tokens =
                requestTokens(placement.uncachedTokens, placement.outputTokens, capacity);
        server->memory.onSent(number, tokens);
        meanRequestTokens_[service].add(tokens);
    }
    return number;
}

void ServerPool::onFirstByte(const ServerId &server, SendNumber number, TimePoint now, bool isExact)
{
    if (Server *known = find(server)) {
        known->model.onFirstByte(speed(known->entry.service), number, now, isExact);
        known->model.onReachable();
    }
}

void ServerPool::setLoopDelay(std::chrono::nanoseconds delay)
{
    // Zero in most intervals.
    if (delay == loopDelay_)
        return;
    loopDelay_ = delay;
    for (auto &[id, server] : servers_)
        server.model.setLoopDelay(toMs(delay));
}

void ServerPool::onLoad(const ServerId &server, const ReportedLoad &load, TimePoint now)
{
    if (Server *known = find(server)) {
        known->model.onReportedSlowness(load.slowness, now);
        known->slownessReceived = now;
    }
}

void ServerPool::onEnded(const ServerId &server, SendNumber number)
{
    if (Server *known = find(server)) {
        known->model.onEnded(number);
        known->memory.onEnded(number);
    }
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

void ServerPool::logState(TimePoint now) const
{
    for (const auto &[service, known] : speeds_)
        logInfo(LogPart::Routing, "event=speed service=", service, " base_ms=", known.baseMs(),
                " ms_per_1000_tokens=", known.msPerToken() * 1000,
                " ms_per_million_pairs=", known.msPerPair() * 1e6);
    for (const auto &[id, server] : servers_)
        logInfo(LogPart::Routing, "event=server server=", id, " service=", server.entry.service,
                " slowness=", server.model.slowness(now), " told=", server.model.reportedSlowness(),
                " failures=", server.model.failureRate(), " running=", server.model.running(),
                " backlog_ms=", server.model.backlogMs(now), " running_tokens=",
                server.memory.runningTokens(server.peerLoads.sum(now).running,
                                            meanRequestTokens(server.entry.service),
                                            server.entry.slots),
                " overdue_ms=", server.model.overdueMs(now),
                " avoided=", server.model.isInBackoff(now), " draining=", server.entry.isDraining);
}

} // namespace lovagecourse
