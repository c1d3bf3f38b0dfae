#include "core/Log.h"
#include "direct/ServerPool.h"
#include "wire/ReportHash.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// A run whose registration has been gone for longer has ended.
constexpr std::chrono::minutes maxDepartedAge{10};
// A process that was suspended has missed what other routers sent meanwhile.
constexpr seconds maxWarmingViewAge{1};

} // namespace

WarmingLimits ServerPool::warmingLimits(const ServiceId &service) const
{
    if (!configuration_)
        return {};
    const auto found = configuration_->services.find(service);
    if (found == configuration_->services.end())
        return {};
    return WarmingLimits{found->second.warmingTime, found->second.warmingRate};
}

/// Updates what depends on the configuration, the routers and the server's run.
void ServerPool::updateWarmingShare(Server &server, TimePoint now) const
{
    setWarmingLimits(server.warming, warmingLimits(server.entry.service), now);
    const ServerRunHash run = runOf(server.entry.id);
    setWarmingShare(server.warming, warmingShare(warmingView_, server.entry.dataCentre, run),
                    warmingRamp(warmingView_.self, run), now);
}

void ServerPool::setWarmingView(const WarmingView &view, TimePoint now)
{
    warmingViewAt_ = now;
    if (view == warmingView_)
        return;
    warmingView_ = view;
    for (auto &[id, server] : servers_)
        updateWarmingShare(server, now);
}

WarmingServers ServerPool::updateWarming(TimePoint now)
{
    WarmingServers warming;
    for (auto &[id, server] : servers_) {
        const bool isWarm = !isWarming(server.warming, now);
        warming.count += isWarm ? 0 : 1;
        if (server.wasWarming != isWarm)
            continue;
        server.wasWarming = !isWarm;
        ++(isWarm ? warming.ended : warming.begun);
        logInfo(LogPart::Membership, "event=", isWarm ? "server-warm" : "server-warming",
                " server=", id, " run=", runOf(id),
                " left_ms=", toMs(warmingLeft(server.warming, now)),
                " registered_ms=", server.entry.warmingLeft.count(),
                " is_broken=", server.warming.brokenAt.has_value(),
                " own_per_second=", server.warming.ownPerSecond,
                " for_ms=", toMs(now - server.warming.since));
    }
    return warming;
}

bool ServerPool::accepts(const ServerId &server, TimePoint now,
                         std::optional<TimePoint> sentAt) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end())
        return false;
    const Server &known = found->second;
    if (known.isEvacuated)
        return false;
    if (sentAt && *sentAt < known.warming.since && isWarming(known.warming, now))
        return false;
    // The request that asks is in flight itself.
    const unsigned others = std::max(known.model.running(), 1U) - 1;
    const Withheld reason = withheldReason(known.entry.isDraining, known.words, others, now);
    // The request that asks has taken its part of the limit already.
    return reason == Withheld::No || reason == Withheld::Limited;
}

Withheld ServerPool::withheld(const Server &server, TimePoint now) const
{
    if (server.isEvacuated)
        return Withheld::Evacuated;
    const Withheld reason =
            withheldReason(server.entry.isDraining, server.words, server.model.running(), now);
    if (reason != Withheld::No || !isWarming(server.warming, now))
        return reason;
    const bool mayUseShare = now - warmingViewAt_ <= maxWarmingViewAge;
    return mayUseShare && hasWarmingToken(server.warming, now) ? Withheld::No : Withheld::Warming;
}

void ServerPool::onEvacuationRecord(const DataCentreId &dataCentre, bool isEvacuated, TimePoint now)
{
    if (evacuations_.apply(dataCentre, isEvacuated, now))
        onEvacuationChanged(EvacuationChange{dataCentre, isEvacuated}, now);
}

void ServerPool::setEvacuated(const std::set<DataCentreId> &evacuated, TimePoint now)
{
    for (const EvacuationChange &change : evacuations_.replaceAll(evacuated, now))
        onEvacuationChanged(change, now);
}

void ServerPool::onEvacuationChanged(const EvacuationChange &change, TimePoint now)
{
    std::size_t count = 0;
    unsigned running = 0;
    for (auto &[id, server] : servers_) {
        if (server.entry.dataCentre != change.dataCentre)
            continue;
        server.isEvacuated = change.isEvacuated;
        // It has had no requests meanwhile.
        if (!change.isEvacuated)
            onMayBeCold(server.warming, now);
        ++count;
        running += server.model.running();
    }
    logInfo(LogPart::Membership, "event=", change.isEvacuated ? "evacuated" : "evacuation-over",
            " data_centre=", change.dataCentre, " servers=", count, " running=", running,
            " list_age_ms=", listTime_ ? toMs(now - *listTime_) : -1);
}

void ServerPool::onConnectionBroken(const ServerId &server, ServerRunHash run, TimePoint now)
{
    Server *known = find(server);
    if (known && runOf(server) == run)
        lovagecourse::onConnectionBroken(known->warming, now);
}

bool ServerPool::warmsUp(const ServerId &server, TimePoint now) const
{
    const auto found = servers_.find(server);
    return found != servers_.end() && isWarming(found->second.warming, now);
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
    onAnswered(server->warming, origin.sentAt, now);
    if (answer.warmingLeft)
        onWarmingReported(server->warming, *answer.warmingLeft, now);
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
    bool hasEvacuated = false;
    bool hasUsable = false;
    for (const Server *server : serversOf(service)) {
        const Withheld reason = withheld(*server, now);
        hasEvacuated = hasEvacuated || reason == Withheld::Evacuated;
        hasUsable = hasUsable || reason == Withheld::No;
        std::chrono::nanoseconds left{0};
        if (reason == Withheld::Paused)
            left = server->words.pausedUntil - now;
        else if (reason == Withheld::Limited)
            left = timeToRoom(server->words.limit, now);
        else if (reason == Withheld::Warming)
            left = warmingLeft(server->warming, now);
        else
            continue;
        const auto wait = std::chrono::ceil<milliseconds>(left);
        if (!first || wait < first->wait)
            first = ServersWithheld{reason, wait};
    }
    if (!first && hasEvacuated && !hasUsable)
        return ServersWithheld{Withheld::Evacuated, milliseconds(0)};
    return first;
}

/// Keeps what a server has said, and whether it warms up, while its registration is gone, because
/// it may come back.
void ServerPool::keepDeparted(const ServerId &id, const Server &server, TimePoint now)
{
    std::erase_if(departedRuns_, [&](const auto &entry) {
        return now - entry.second.departedAt > maxDepartedAge;
    });
    if (server.words.leavingSince || server.words.pausedAt || server.words.limit.perSecond
        || isWarming(server.warming, now))
        departedRuns_[runOf(id)] = DepartedRun{server.words, server.warming, server.wasWarming,
                                               server.entry.warmingLeft, now};
}

/// Restores what is known of a server that has just been added.
void ServerPool::restoreDeparted(Server &server, const RegistrationChange &change, TimePoint now)
{
    const ServerEntry &entry = server.entry;
    const auto departed = departedRuns_.extract(runOf(entry.id));
    if (departed) {
        server.words = departed.mapped().words;
        server.warming = departed.mapped().warming;
        server.wasWarming = departed.mapped().wasWarming;
    }
    updateWarmingShare(server, now);
    // The time of a registration that is written again has begun with its first one.
    if (!departed || departed.mapped().warmingLeft != entry.warmingLeft)
        onWarmingReported(server.warming, entry.warmingLeft, now);
    onRunShown(server.warming, change.writtenAfter);
    // Its data centre may have been evacuated until the registration was lost, or while it was.
    const auto changedAt = evacuations_.changedAt(entry.dataCentre);
    if (changedAt && !server.isEvacuated)
        onMayBeCold(server.warming, *changedAt);
}

} // namespace lovagecourse
