#include "core/Log.h"
#include "direct/DirectRouterImpl.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Lateness of a run that has not answered for so long says nothing about its present speed.
constexpr std::chrono::minutes maxLatenessAge{10};
// A decision that a busy moment of this process prevented is taken again after this time.
constexpr double busyHedgeTimerMs = 50;
// All suspected traits of a fleet; CrashTraits keeps fewer.
constexpr std::size_t maxSuspectTraits = 4096;

} // namespace

bool promisesNotRun(int status)
{
    return status == statusRequestTimeout || status == statusMisdirected
           || status == statusTooManyRequests || status == statusUnavailable;
}

/// Hedges in flight go on when hedged requests are turned off.
void DirectRouter::Impl::setHedgeShare(double share)
{
    if (share == hedgeShare)
        return;
    logInfo(LogPart::Routing, "event=hedge-share share=", share, " before=", hedgeShare);
    hedgeShare = share;
    for (auto &[service, known] : hedges)
        known.budget.setShare(share);
}

ServiceHedges &DirectRouter::Impl::hedgesOf(const ServiceId &service)
{
    const auto [position, isNew] = hedges.try_emplace(service);
    if (isNew)
        position->second.budget.setShare(hedgeShare);
    return position->second;
}

/// The servers reject requests because of their load, or admission control does.
void DirectRouter::Impl::onServiceRejected(const ServiceId &service)
{
    if (hedgeShare > 0)
        hedgesOf(service).rejectedAt = now();
}

/// Records how late the attempt's answer has begun, or was when the attempt was cancelled.
void DirectRouter::Impl::observeLatency(const DirectExchange &exchange,
                                        const DirectAttempt &attempt)
{
    if (hedgeShare <= 0)
        return;
    const TimePoint current = now();
    const double elapsedMs = toMs(current - attempt.sentAt);
    const double predictedMs = attempt.placement.prediction.firstByteMs();
    hedgesOf(exchange.service).latencies[exchange.route->name].observe(elapsedMs, predictedMs);
    if (!lateness.contains(attempt.serverRun))
        std::erase_if(lateness, [&](const auto &entry) {
            return current - entry.second.lastObserved() > maxLatenessAge;
        });
    lateness[attempt.serverRun].observe(elapsedMs, predictedMs, current);
}

HedgeTiming DirectRouter::Impl::hedgeTiming(const DirectExchange &exchange)
{
    const DirectAttempt &attempt = *exchange.attempt;
    const auto known = lateness.find(attempt.serverRun);
    return makeHedgeTiming(attempt.placement.prediction.firstByteMs(),
                           hedgesOf(exchange.service).latencies[exchange.route->name],
                           known != lateness.end() && known->second.isSlow());
}

/// Starts the timer that considers a hedge. It ends before that of armStallTimer(), which remains
/// in force when the hedge is withheld.
void DirectRouter::Impl::armHedgeTimer(DirectExchange &exchange, double minDelayMs)
{
    const bool canHedge = hedgeShare > 0 && isRetryable(exchange.route->kind)
                          && !exchange.isStreaming
                          && exchange.sendCount < exchange.route->maxServers;
    if (!canHedge)
        return;
    const double elapsedMs = toMs(now() - exchange.attempt->sentAt);
    const double delayMs = std::max(hedgeDelayMs(hedgeTiming(exchange)) - elapsedMs, minDelayMs);
    const CallerId caller = exchange.caller;
    const AttemptKey key = exchange.attempt->key;
    exchange.hedgeTimer = std::make_unique<Timer>(
            context.loop, [this, caller, key] { onHedgeTimer(caller, key); });
    exchange.hedgeTimer->startOnce(std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double, std::milli>(delayMs)));
}

bool DirectRouter::Impl::hasSuspectTrait(const DirectExchange &exchange) const
{
    if (context.crashTraits.isEmpty())
        return false;
    const auto suspects = context.crashTraits.crashes(now(), maxSuspectTraits);
    return std::any_of(suspects.begin(), suspects.end(), [&](const TraitCrash &crash) {
        return std::find(exchange.traits.begin(), exchange.traits.end(), crash.trait)
               != exchange.traits.end();
    });
}

HedgeInput DirectRouter::Impl::hedgeInput(const DirectExchange &exchange,
                                          const std::optional<Placement> &second)
{
    const TimePoint current = now();
    ServiceHedges &known = hedgesOf(exchange.service);
    HedgeInput input;
    input.timing = hedgeTiming(exchange);
    input.elapsedMs = toMs(current - exchange.attempt->sentAt);
    input.remainingMs = toMs(exchange.deadline - current);
    input.isRepeatable = isRetryable(exchange.route->kind) && !exchange.isStreaming;
    input.sendCount = exchange.sendCount;
    input.maxServers = exchange.route->maxServers;
    input.hasSuspectTrait = hasSuspectTrait(exchange);
    input.loopDelayMs = toMs(context.loop.delay());
    if (known.rejectedAt)
        input.rejectedAgoMs = toMs(current - *known.rejectedAt);
    input.objectiveMs = static_cast<double>(exchange.route->objective.count());
    input.hasBudget = known.budget.canTake(current);
    if (second) {
        input.meanWaitMs = second->meanWaitMs;
        input.server = HedgeServer{second->prediction.firstByteMs(), second->prediction.failureRate,
                                   second->prediction.isInBackoff};
    }
    return input;
}

/// Decides, and takes from both budgets if the hedge is sent.
HedgeVerdict DirectRouter::Impl::takeHedge(const DirectExchange &exchange, const HedgeInput &input)
{
    const HedgeVerdict verdict = decideHedge(input);
    if (verdict != HedgeVerdict::Send)
        return verdict;
    const TimePoint current = now();
    if (!budget(exchange.service).tryTake(context.routerCount(), current))
        return HedgeVerdict::NoRetryBudget;
    return hedgesOf(exchange.service).budget.tryTake(current) ? HedgeVerdict::Send
                                                              : HedgeVerdict::NoHedgeBudget;
}

void DirectRouter::Impl::onHedgeTimer(CallerId caller, AttemptKey key)
{
    DirectExchange *exchange = find(caller, key);
    const bool isOpen = exchange && !exchange->rival && !exchange->attempt->hasHead
                        && hedgeShare > 0 && !gateway->hasCallerLeft(caller);
    if (!isOpen)
        return;
    auto second = context.pool.choose(placementRequest(*exchange), now());
    // The few requests that a warming server takes are left to first attempts.
    if (second && context.pool.warmsUp(second->server, now()))
        second.reset();
    const HedgeInput input = hedgeInput(*exchange, second);
    const HedgeVerdict verdict = takeHedge(*exchange, input);
    if (verdict == HedgeVerdict::TooEarly)
        return armHedgeTimer(*exchange);
    logInfo(LogPart::Routing, "event=hedge request=", exchange->client.attemptId,
            " decision=", toString(verdict), " first=", exchange->attempt->placement.server,
            " server=", second ? second->server : ServerId(), " elapsed_ms=", input.elapsedMs,
            " predicted_ms=", input.timing.predictedMs, " late_ratio=", input.timing.lateRatio,
            " samples=", input.timing.sampleCount, " server_slow=", input.timing.isServerSlow,
            " second_ms=", input.server ? input.server->firstByteMs : 0,
            " mean_wait_ms=", input.meanWaitMs, " remaining_ms=", input.remainingMs,
            " list_age_ms=", second ? toMs(second->listAge) : 0);
    if (verdict != HedgeVerdict::Send) {
        context.metrics.count("lovagecourse_hedges_withheld_total", toString(verdict));
        if (verdict == HedgeVerdict::RouterBusy)
            armHedgeTimer(*exchange, busyHedgeTimerMs);
        return;
    }
    sendHedge(*exchange, std::move(*second));
}

void DirectRouter::Impl::sendHedge(DirectExchange &exchange, Placement placement)
{
    context.metrics.count("lovagecourse_hedges_total", "sent");
    if (exchange.stallTimer)
        exchange.stallTimer->stop();
    if (exchange.openHedge)
        endHedge(exchange, "failed", 0);
    exchange.openHedge = OpenHedge{exchange.attempt->sentAt,
                                   exchange.attempt->placement.prediction.firstByteMs()};
    exchange.rival = std::move(exchange.attempt);
    send(exchange, std::move(placement));
}

/// Returns whether the current attempt's answer ends the request although another attempt runs.
bool DirectRouter::Impl::endsRequest(const DirectExchange &exchange) const
{
    const DirectAttempt &attempt = *exchange.attempt;
    return !attempt.isInvalid && !attempt.answer.notExecuted
           && attempt.status < firstServerErrorStatus && !promisesNotRun(attempt.status);
}

/// The current attempt's answer goes to the caller: cancels the other attempt.
void DirectRouter::Impl::onAnswerWins(DirectExchange &exchange)
{
    if (!exchange.openHedge)
        return;
    const DirectAttempt &winner = *exchange.attempt;
    double savedMs = 0;
    if (exchange.rival) {
        exchange.predictedMs = winner.placement.prediction.firstByteMs();
        if (winner.isHedge) {
            // The first attempt would have taken as long as others that were late by as much.
            const OpenHedge &hedge = *exchange.openHedge;
            const double elapsedMs = toMs(now() - hedge.firstSentAt);
            const double predictedMs = std::max(hedge.firstPredictedMs, 1.);
            const LatencyDistribution &observed =
                    hedgesOf(exchange.service).latencies[exchange.route->name];
            savedMs = predictedMs * observed.meanAbove(elapsedMs / predictedMs) - elapsedMs;
            savedMs = std::max(savedMs, 0.);
        }
        // The cancelled attempt may have run; its server is not to blame.
        exchange.mayHaveRun = true;
        const double rivalMs = toMs(now() - exchange.rival->sentAt);
        if (rivalMs > exchange.rival->placement.prediction.firstByteMs()
            && !exchange.rival->hasHead)
            observeLatency(exchange, *exchange.rival);
        cancelRival(exchange);
    }
    endHedge(exchange, winner.isHedge ? "won" : "lost", savedMs);
}

void DirectRouter::Impl::endHedge(DirectExchange &exchange, std::string_view outcome,
                                  double savedMs)
{
    context.metrics.count("lovagecourse_hedges_total", outcome);
    if (outcome == "won")
        context.metrics.latency("lovagecourse_hedge_saved_seconds",
                                std::chrono::duration_cast<std::chrono::nanoseconds>(
                                        std::chrono::duration<double, std::milli>(savedMs)));
    logInfo(LogPart::Routing, "event=hedge-ended request=", exchange.client.attemptId,
            " outcome=", outcome, " saved_ms=", savedMs,
            " since_first_ms=", toMs(now() - exchange.openHedge->firstSentAt));
    exchange.openHedge.reset();
}

/// The current attempt has ended without an answer for the caller. Returns whether another one
/// runs, which then decides.
bool DirectRouter::Impl::continueWithRival(DirectExchange &exchange)
{
    if (!exchange.rival)
        return false;
    exchange.attempt = std::move(exchange.rival);
    if (!exchange.attempt->isHedge && exchange.openHedge)
        endHedge(exchange, "failed", 0);
    if (!exchange.attempt->hasHead)
        armStallTimer(exchange);
    return true;
}

/// Keeps the error answer of the current attempt for the case that the other one fails, too.
void DirectRouter::Impl::onErrorWithRival(DirectExchange &exchange)
{
    const int status = exchange.attempt->status;
    if (status >= firstServerErrorStatus || promisesNotRun(status))
        exchange.mayHaveRun = true;
    if (!promisesNotRun(status))
        exchange.failedAnswer = std::move(exchange.attempt);
    endAttempt(exchange);
    continueWithRival(exchange);
}

void DirectRouter::Impl::cancelRival(DirectExchange &exchange)
{
    if (!exchange.rival)
        return;
    context.pool.onEnded(exchange.rival->placement.server, exchange.rival->number);
    context.http.cancel(exchange.rival->transfer);
    exchange.rival.reset();
}

void DirectRouter::Impl::cancelAttempts(DirectExchange &exchange)
{
    cancelRival(exchange);
    cancelAttempt(exchange);
}

} // namespace lovagecourse
