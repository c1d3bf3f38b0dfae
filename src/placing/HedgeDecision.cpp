#include "placing/HedgeDecision.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// With fewer answers a quantile of 95% is one or two single answers; defaultLateRatio applies.
constexpr double minSamples = 40;
constexpr double defaultLateRatio = 2;
// Bounds of the observed ratio: one below 1.2 would hedge answers that are on time, and with one
// above 3 the retry of a stalled attempt comes first.
constexpr double minLateRatio = 1.2;
constexpr double maxLateRatio = 3;
// Scheduling and network delays are not in proportion to the prediction.
constexpr double minLateMs = 15;
// Time after a rejection in which the service counts as overloaded.
constexpr double rejectionMemoryMs = 2000;
// Part of the objective that the mean wait may take. Above it most answers are late because of the
// load, and admission control begins to reject at 0.5.
constexpr double maxWaitPart = 0.2;
// A later loop delay can explain the missing answer.
constexpr double maxLoopDelayMs = 15;
// One failure in the last few requests, see ServerModel::failureRate().
constexpr double maxFailureRate = 0.1;

} // namespace

std::string_view toString(HedgeVerdict verdict)
{
    switch (verdict) {
    case HedgeVerdict::Send:
        return "send";
    case HedgeVerdict::TooEarly:
        return "too-early";
    case HedgeVerdict::NotRepeatable:
        return "not-repeatable";
    case HedgeVerdict::MaxAttempts:
        return "max-attempts";
    case HedgeVerdict::NearDeadline:
        return "near-deadline";
    case HedgeVerdict::Rejecting:
        return "rejecting";
    case HedgeVerdict::LongWait:
        return "long-wait";
    case HedgeVerdict::SuspectTrait:
        return "suspect-trait";
    case HedgeVerdict::RouterBusy:
        return "router-busy";
    case HedgeVerdict::NoServer:
        return "no-server";
    case HedgeVerdict::ServerFailing:
        return "server-failing";
    case HedgeVerdict::NoGain:
        return "no-gain";
    case HedgeVerdict::NoHedgeBudget:
        return "no-hedge-budget";
    case HedgeVerdict::NoRetryBudget:
        return "no-retry-budget";
    }
    return "unknown";
}

HedgeTiming makeHedgeTiming(double predictedMs, const LatencyDistribution &observed,
                            bool isServerSlow)
{
    return HedgeTiming{predictedMs, observed.sampleCount(), observed.quantile(0.5),
                       observed.quantile(lateQuantile), isServerSlow};
}

double hedgeDelayMs(const HedgeTiming &timing)
{
    double ratio = timing.sampleCount < minSamples ? defaultLateRatio : timing.lateRatio;
    // Half of the answers of a sound server have begun by then; those of a slow one have not.
    if (timing.isServerSlow)
        ratio = timing.sampleCount < minSamples ? minLateRatio : timing.medianRatio;
    ratio = std::clamp(ratio, minLateRatio, maxLateRatio);
    return std::max(ratio * timing.predictedMs, timing.predictedMs + minLateMs);
}

HedgeVerdict decideHedge(const HedgeInput &input)
{
    if (!input.isRepeatable)
        return HedgeVerdict::NotRepeatable;
    if (input.sendCount >= input.maxServers)
        return HedgeVerdict::MaxAttempts;
    if (input.elapsedMs < hedgeDelayMs(input.timing))
        return HedgeVerdict::TooEarly;
    if (input.hasSuspectTrait)
        return HedgeVerdict::SuspectTrait;
    if (input.loopDelayMs > maxLoopDelayMs)
        return HedgeVerdict::RouterBusy;
    if (input.rejectedAgoMs && *input.rejectedAgoMs < rejectionMemoryMs)
        return HedgeVerdict::Rejecting;
    if (!input.server)
        return HedgeVerdict::NoServer;
    if (input.meanWaitMs > maxWaitPart * input.objectiveMs)
        return HedgeVerdict::LongWait;
    if (input.server->isInBackoff || input.server->failureRate > maxFailureRate)
        return HedgeVerdict::ServerFailing;
    if (input.server->firstByteMs >= input.remainingMs)
        return HedgeVerdict::NearDeadline;
    // An attempt that is already late takes about as long again as it has taken so far.
    if (input.server->firstByteMs > input.elapsedMs)
        return HedgeVerdict::NoGain;
    return input.hasBudget ? HedgeVerdict::Send : HedgeVerdict::NoHedgeBudget;
}

} // namespace lovagecourse
