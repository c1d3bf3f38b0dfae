#include "direct/ServerPool.h"

#include "core/Log.h"

#include <xxhash.h>

#include <algorithm>

namespace lovagecourse {

namespace {

// Sends with less prefill time don't change other routers' choices; the next full report contains
// them.
constexpr double minReportedPrefillMs = 15;
// A run whose registration has been gone for longer has ended.
constexpr std::chrono::minutes maxDepartedAge{10};

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

bool ServerPool::accepts(const ServerId &server, TimePoint now) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
        return false;
    const Server &known = found->second;
    // The request that asks is in flight itself.
    const unsigned others = std::max(known.model.running(), 1U) - 1;
    const Withheld reason = withheldReason(known.entry.isDraining, known.words, others, now);
    // The request that asks has taken its part of the limit already.
    return reason == Withheld::No || reason == Withheld::Limited;
}

Withheld ServerPool::withheld(const Server &server, TimePoint now)
{
    return withheldReason(server.entry.isDraining, server.words, server.model.running(), now);
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
            keepWords(change.id, *server, now);
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
                " service=", entry.service, " address=", toString(entry.address),
                " draining=", entry.isDraining);
        Server added;
        added.entry = entry;
        added.model.setLoopDelay(toMs(loopDelay_));
        const auto position = servers_.emplace(change.id, std::move(added)).first;
        if (const auto departed = departedWords_.extract(runOf(change.id)))
            position->second.words = departed.mapped().words;
        serversByHash_[reportHash(change.id.value)] = &position->second;
        serversByService_.clear();
        return;
    }
    const bool restarted =
            server->entry.startedMs != entry.startedMs || server->entry.address != entry.address;
    if (restarted) {
        server->cache.clear();
        server->model.onRestarted();
    }
    if (server->entry.startedMs != entry.startedMs)
        server->words = ServerWords();
    if (restarted || server->entry.isDraining != entry.isDraining)
        logInfo(LogPart::Membership, "event=server-changed server=", change.id,
                " restarted=", restarted, " draining=", entry.isDraining,
                " backlog_ms=", server->model.backlogMs(now));
    if (server->entry.service != entry.service)
        serversByService_.clear();
    server->entry = entry;
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

std::optional<Placement> ServerPool::choose(const PlacementRequest &request, TimePoint now) const
{
    const double capacity = cacheTokens(request.service);
    const PrefillSpeed &serviceSpeed = speed(request.service);
    const std::vector<const Server *> &known = serversOf(request.service);
    std::vector<PlacementCandidate> candidates;
    std::vector<const Server *> servers;
    std::vector<PrefillWork> works;
    candidates.reserve(known.size());
    servers.reserve(known.size());
    works.reserve(known.size());
    const std::uint64_t placementNumber = ++lastPlacement_;
    if (!request.prompt.empty()) {
        for (const Server *holder : prefixHolders_.of(request.prompt.front().hash))
            holder->holderMark = placementNumber;
    }
    for (const Server *candidateServer : known) {
        const Server &server = *candidateServer;
        if (withheld(server, now) != Withheld::No || request.excluded.contains(server.entry.id))
            continue;
        const double cachedTokens = server.holderMark == placementNumber
                                            ? server.cache.cachedTokens(request.prompt, capacity)
                                            : 0;
        const PrefillWork work{std::max(0., request.promptTokens - cachedTokens), cachedTokens};
        const double slowness = server.model.slowness(now);
        PlacementCandidate candidate;
        candidate.server = server.entry.id;
        candidate.waitMs = server.model.waitMs(serviceSpeed, server.peerLoads.sum(now),
                                               server.entry.slots, now);
        candidate.prefillMs = serviceSpeed.prefillMs(work) * slowness;
        candidate.baseMs = serviceSpeed.baseMs() * slowness;
        candidate.failureRate = server.model.failureRate();
        candidate.isLocal = server.entry.dataCentre == dataCentre_;
        candidate.isInBackoff = server.model.isInBackoff(now);
        candidates.push_back(std::move(candidate));
        servers.push_back(&server);
        works.push_back(work);
    }
    const std::uint64_t promptHash = request.prompt.empty() ? 0 : request.prompt.front().hash;
    const auto best = choosePlacement(candidates, promptHash, request.objectiveMs);
    if (!best)
        return std::nullopt;
    double waitSum = 0;
    for (const PlacementCandidate &candidate : candidates)
        waitSum += std::min(candidate.waitMs, request.objectiveMs);
    Placement placement;
    placement.server = candidates[*best].server;
    placement.address = servers[*best]->entry.address;
    placement.uncachedTokens = works[*best].uncachedTokens;
    placement.cachedTokens = works[*best].cachedTokens;
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
    const double capacity = cacheTokens(server->entry.service);
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
        server->cache.insert(prompt, capacity);
        prefixHolders_.add(prompt.front().hash, server);
        prefixHolders_.removeExpired([](const Server &holder, std::uint64_t prefix) {
            return holder.cache.contains(prefix);
        });
    }
    const PrefillWork work{placement.uncachedTokens, placement.cachedTokens};
    if (speed(server->entry.service).prefillMs(work) >= minReportedPrefillMs) {
        markUnreported(*server);
        markUnrelayed(*server);
    }
    takeRoom(server->words.limit, now);
    server->sentTokens += static_cast<std::uint32_t>(placement.uncachedTokens);
    return server->model.onSent(speed(server->entry.service), work, server->peerLoads.sum(now),
                                server->entry.slots, now);
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
    if (Server *known = find(server))
        known->model.onEnded(number);
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

void ServerPool::onWords(const AnswerOrigin &origin, const ServerAnswer &answer, TimePoint now)
{
    Server *server = find(origin.server);
    if (!server || runOf(origin.server) != origin.run)
        return;
    ServerWords &words = server->words;
    if (answer.isLeaving && !words.leavingSince) {
        words.leavingSince = now;
        logInfo(LogPart::Membership, "event=server-leaving server=", origin.server,
                " run=", origin.run, " request=", origin.attemptId,
                " running=", server->model.running());
    }
    onLimitHeard(*server, answer, origin, now);
    if (answer.pause) {
        const milliseconds pause = std::min(*answer.pause, maxPause_);
        logInfo(LogPart::Membership, "event=server-paused server=", origin.server,
                " run=", origin.run, " request=", origin.attemptId, " pause_ms=", pause.count(),
                " asked_ms=", answer.pause->count(), " replaced=", words.pausedAt.has_value());
        onPauseHeard(words, pause, now);
    } else if (!answer.notExecuted && onAnswerHeard(words, origin.sentAt)) {
        logInfo(LogPart::Membership, "event=server-pause-over server=", origin.server,
                " run=", origin.run, " request=", origin.attemptId);
    }
}

double ServerPool::limitPart(const Server &server, TimePoint now) const
{
    return limitParts_.part(reportHash(server.entry.service.value), routerCounts_, now);
}

void ServerPool::onLimitHeard(Server &server, const ServerAnswer &answer,
                              const AnswerOrigin &origin, TimePoint now)
{
    RequestLimit &limit = server.words.limit;
    const auto before = limit.named;
    bool isChanged = false;
    if (answer.limitPerSecond)
        isChanged = onLimitNamed(limit, *answer.limitPerSecond, limitPart(server, now), now, now);
    else if (!answer.namesLimit)
        isChanged = onLimitAbsent(limit, origin.sentAt, now);
    if (!isChanged)
        return;
    haveLimitsChanged_ = true;
    logInfo(LogPart::Membership, "event=server-limit server=", origin.server, " run=", origin.run,
            " request=", origin.attemptId, " per_second=", limit.named.value_or(-1),
            " in_force=", limit.perSecond.value_or(-1), " before=", before.value_or(-1),
            " own_per_second=", limit.ownPerSecond, " routers=", routerCounts_.fleet);
}

void ServerPool::onLimitReported(const HeardLimit &heard, TimePoint now)
{
    Server *server = findByHash(heard.server);
    if (!server || runOf(server->entry.id) != heard.run)
        return;
    RequestLimit &limit = server->words.limit;
    const auto before = limit.named;
    const bool isChanged = heard.perSecond
                                   ? onLimitNamed(limit, *heard.perSecond, limitPart(*server, now),
                                                  heard.heardAt, now)
                                   : onLimitAbsent(limit, heard.heardAt, heard.heardAt);
    if (!isChanged)
        return;
    logInfo(LogPart::Membership, "event=server-limit server=", server->entry.id, " run=", heard.run,
            " per_second=", limit.named.value_or(-1), " in_force=", limit.perSecond.value_or(-1),
            " before=", before.value_or(-1), " own_per_second=", limit.ownPerSecond,
            " routers=", routerCounts_.fleet, " heard_ms_ago=", toMs(now - heard.heardAt));
}

void ServerPool::updateLimitParts(const RouterCounts &counts, TimePoint now)
{
    routerCounts_ = counts;
    for (auto &[id, server] : servers_) {
        if (server.words.limit.perSecond)
            updateLimit(server.words.limit, limitPart(server, now), now);
    }
}

std::vector<HeardLimit> ServerPool::heardLimits(std::size_t maxCount, TimePoint now) const
{
    // Others that still know the limit are told for so long that it has ended.
    constexpr seconds endedLimitAge{5};
    struct Changed
    {
        TimePoint at;
        HeardLimit heard;
    };
    std::vector<Changed> changed;
    for (const auto &[id, server] : servers_) {
        const RequestLimit &limit = server.words.limit;
        const bool hasEnded =
                !limit.named && limit.heardAt != TimePoint() && now - limit.heardAt < endedLimitAge;
        if (limit.named || hasEnded)
            changed.push_back({limit.changedAt, HeardLimit{runOf(id), reportHash(id.value),
                                                           limit.named, limit.heardAt}});
    }
    std::sort(changed.begin(), changed.end(),
              [](const Changed &left, const Changed &right) { return left.at > right.at; });
    std::vector<HeardLimit> heard;
    for (const Changed &entry : changed) {
        if (heard.size() == maxCount)
            break;
        heard.push_back(entry.heard);
    }
    return heard;
}

std::optional<ServersWithheld> ServerPool::withheldFor(const ServiceId &service,
                                                       TimePoint now) const
{
    std::optional<ServersWithheld> first;
    for (const Server *server : serversOf(service)) {
        const Withheld reason = withheld(*server, now);
        if (reason != Withheld::Paused && reason != Withheld::Limited)
            continue;
        const auto left = reason == Withheld::Paused ? server->words.pausedUntil - now
                                                     : timeToRoom(server->words.limit, now);
        const auto wait = std::chrono::ceil<milliseconds>(left);
        if (!first || wait < first->wait)
            first = ServersWithheld{reason, wait};
    }
    return first;
}

/// Keeps what a server has said while its registration is gone, because it may come back.
void ServerPool::keepWords(const ServerId &id, const Server &server, TimePoint now)
{
    std::erase_if(departedWords_, [&](const auto &entry) {
        return now - entry.second.departedAt > maxDepartedAge;
    });
    if (server.words.leavingSince || server.words.pausedAt || server.words.limit.perSecond)
        departedWords_[runOf(id)] = DepartedWords{server.words, now};
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
                " backlog_ms=", server.model.backlogMs(now),
                " overdue_ms=", server.model.overdueMs(now),
                " avoided=", server.model.isInBackoff(now), " draining=", server.entry.isDraining);
}

} // namespace lovagecourse
