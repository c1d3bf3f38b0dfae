#include "placing/IntakeLimit.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Latency objectives are a few hundred ms, of which this much may be spent in the process for a
// short time. Timers on a small host that is not overloaded fire up to 60 ms late.
constexpr double maxLoopDelayMs = 250;
constexpr double decreaseFactor = 0.7;
// Streams that are open when the limit falls end only after about a second. Without the cooldown
// the limit would fall to its minimum meanwhile.
constexpr milliseconds decreaseCooldown{400};
// The limit grows by half in a second of 50 ms intervals, while most of it is in use.
constexpr double growthFactor = 1.02;
constexpr double minUtilisationToGrow = 0.7;
// In light load it grows by half in four seconds, so that it ends after an overload.
constexpr double idleGrowthFactor = 1.005;
// An overloaded process is busy all the time; one that was suspended, or waited for the processor
// once, is not.
constexpr double minOverloadBusyShare = 0.6;
constexpr double minLearningBusyShare = 0.4;
// A suspended process is late when it resumes, and once more with the work that has waited. An
// overload lasts for more intervals, because the open requests end only after about a second.
constexpr unsigned maxUnconfirmedIntervals = 2;
constexpr seconds confirmationTime{1};
// Overloads that follow each other within this time are one.
constexpr seconds overloadGap{10};
constexpr double measurementMs = 1000;
constexpr std::size_t minMeasuredRequests = 20;
// Processor time of a request with a streamed answer.
constexpr double processorMsPerRequest = 0.45;
constexpr double minProcessorShare = 0.01;
// Weight of one second in the cost of a request.
constexpr double requestCostWeight = 0.5;
// A second in which requests take at most this part of the time shows the fixed work of the
// process. An error of half of their cost then changes it by a twentieth of the time.
constexpr double maxQuietRequestShare = 0.1;
// A process that was suspended has measured a longer time.
constexpr double maxQuietMs = 2 * measurementMs;
constexpr double fixedShareWeight = 0.2;
constexpr unsigned minQuietSeconds = 3;
// The smallest hosts need 0.15 of their time. The bound keeps the cost of a request above three
// eighths of what it is without fixed work, whatever was measured.
constexpr double maxFixedShare = 0.25;
// A few requests are always allowed, so that a limit that fell too far can grow again.
constexpr double minOpen = 8;
constexpr double minAcceptsAtOnce = 1;
// Accepting may delay the event loop by this much, together with the other work.
constexpr double maxAcceptDelayMs = 60;

bool isMeasurable(const ProcessLoad &load)
{
    return std::isfinite(load.busyShare) && load.busyShare >= 0 && load.busyShare <= 1
           && std::isfinite(load.intervalMs) && load.intervalMs > 0;
}

} // namespace

IntakeLimit::IntakeLimit(double processorShare)
    : requestCostMs_(processorMsPerRequest / std::max(processorShare, minProcessorShare))
{}

bool isOverloaded(const ProcessLoad &load)
{
    return load.loopDelayMs > maxLoopDelayMs && load.busyShare >= minOverloadBusyShare;
}

/// Learns from a second whose busy time is that of the process itself, apart from a few requests of
/// known cost.
void IntakeLimit::learnFixedShare(double busyShare)
{
    const double requestShare =
            requestCostMs_ * static_cast<double>(measuredRequests_) / measuredMs_;
    if (busyShare >= minLearningBusyShare || requestShare > maxQuietRequestShare
        || measuredMs_ > maxQuietMs)
        return;
    const double sample = std::clamp(busyShare - requestShare, 0., maxFixedShare);
    // The first second contains the load of the configuration, so the second one replaces it.
    const double weight = quietSeconds_ < 2 ? 1 : fixedShareWeight;
    measuredFixedShare_ += weight * (sample - measuredFixedShare_);
    ++quietSeconds_;
}

double IntakeLimit::fixedShare() const
{
    return quietSeconds_ < minQuietSeconds ? 0 : measuredFixedShare_;
}

/// Divides the busy time of a second by its requests, without the fixed work of the process. In
/// light load most of the time goes into other work, and with few requests into the rejection of
/// others; both give no measurement.
void IntakeLimit::learnRequestCost(const ProcessLoad &load)
{
    if (!isMeasurable(load))
        return;
    measuredMs_ += load.intervalMs;
    measuredBusyMs_ += load.busyShare * load.intervalMs;
    measuredRequests_ += load.received;
    if (measuredMs_ < measurementMs)
        return;
    const double busyShare = measuredBusyMs_ / measuredMs_;
    learnFixedShare(busyShare);
    if (busyShare >= minLearningBusyShare && measuredRequests_ >= minMeasuredRequests) {
        const double costMs =
                (busyShare - fixedShare()) * measuredMs_ / static_cast<double>(measuredRequests_);
        requestCostMs_ += requestCostWeight * (costMs - requestCostMs_);
    }
    measuredMs_ = 0;
    measuredBusyMs_ = 0;
    measuredRequests_ = 0;
}

void IntakeLimit::lower(double open, TimePoint now)
{
    if (now - lastOverloaded_ > overloadGap)
        overloadedIntervals_ = 0;
    lastOverloaded_ = now;
    ++overloadedIntervals_;
    if (now < cooldownUntil_)
        return;
    maxOpen_ = std::max(minOpen, decreaseFactor * std::min(maxOpen_, open));
    cooldownUntil_ = now + decreaseCooldown;
}

void IntakeLimit::grow(double open)
{
    const bool isInUse = open >= minUtilisationToGrow * maxOpen_;
    maxOpen_ = std::min(unlimitedOpen, maxOpen_ * (isInUse ? growthFactor : idleGrowthFactor));
}

/// Returns whether the limit has too little evidence: few late intervals, and none since.
bool IntakeLimit::isUnconfirmed(TimePoint now) const
{
    return isLimited() && overloadedIntervals_ <= maxUnconfirmedIntervals
           && now - lastOverloaded_ >= confirmationTime;
}

std::size_t IntakeLimit::onInterval(const ProcessLoad &load, TimePoint now)
{
    learnRequestCost(load);
    loopDelayMs_ = load.loopDelayMs;
    const auto count = static_cast<double>(load.open);
    if (isOverloaded(load))
        lower(count, now);
    else if (isUnconfirmed(now))
        maxOpen_ = unlimitedOpen;
    else if (isLimited())
        grow(count);
    // The platform expects a process that reports itself as ready to accept some connections.
    return static_cast<std::size_t>(std::max(1., maxOpen_ - count));
}

std::size_t IntakeLimit::acceptsAtOnce() const
{
    const double remainingMs = maxAcceptDelayMs - loopDelayMs_;
    return static_cast<std::size_t>(std::max(minAcceptsAtOnce, remainingMs / requestCostMs_));
}

} // namespace lovagecourse
