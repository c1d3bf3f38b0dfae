#include "scheduling/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace lovagecourse {

namespace {

using std::chrono::nanoseconds;

/// Latency samples are evaluated once per window.
constexpr milliseconds windowLength{500};
/// A window with this many samples may close after minWindowLength.
constexpr std::size_t fullWindowSamples = 30;
constexpr milliseconds minWindowLength{200};
/// A window with fewer samples stays open for up to twice windowLength, since a single slow
/// request does not indicate a trend.
constexpr std::size_t minWindowSamples = 5;
/// A median above this multiple of its target indicates a slow server rather than a limit that is
/// slightly too high.
constexpr int severeLatencyFactor = 2;
/// Factor by which the latency floor of plain services rises per window, about 1% per second.
constexpr double floorRisePerWindow = 1.005;

/// Percentile (fraction 0 to 1) of the samples, by nearest rank; reorders them. samples must not be
/// empty.
nanoseconds percentile(std::vector<nanoseconds> &samples, double fraction)
{
    const auto last = static_cast<double>(samples.size() - 1);
    const auto rank = std::lround(last * fraction);
    std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
    return samples[static_cast<std::size_t>(rank)];
}

} // namespace

struct ConcurrencyLimit::Impl
{
    explicit Impl(const ConcurrencyLimitOptions &initial)
        : options(initial)
        , limit(initialLimit(initial))
    {}

    static int initialLimit(const ConcurrencyLimitOptions &options)
    {
        if (options.fixedLimit > 0)
            return options.fixedLimit;
        return std::clamp(options.maxLimit / 2, options.minLimit, options.maxLimit);
    }

    std::size_t sampleCount() const
    {
        return firstTokenLatencies.size() + interTokenLatencies.size() + serviceTimes.size();
    }

    bool isWindowComplete(TimePoint now)
    {
        const auto age = now - windowStart;
        const std::size_t samples = sampleCount();
        if (samples == 0)
            return false;
        if (isSeverelySlow())
            return age >= minWindowLength;
        if (samples >= fullWindowSamples)
            return age >= minWindowLength;
        return age >= (samples < minWindowSamples ? 2 * windowLength : windowLength);
    }

    bool isTargetMet()
    {
        if (options.kind == ServiceKind::Plain)
            return isPlainTargetMet();
        const bool isFirstTokenLate =
                !firstTokenLatencies.empty()
                && percentile(firstTokenLatencies, 0.95) > options.firstTokenTarget;
        const bool isInterTokenLate =
                !interTokenLatencies.empty()
                && percentile(interTokenLatencies, 0.95) > options.interTokenTarget;
        return !isFirstTokenLate && !isInterTokenLate;
    }

    /// The server is slow at any load; only inter-token latency shows this before requests end.
    bool isSeverelySlow()
    {
        return interTokenLatencies.size() >= minWindowSamples
               && percentile(interTokenLatencies, 0.5)
                          > severeLatencyFactor * options.interTokenTarget;
    }

    /// Compares the median with the latency floor. Costs of plain calls differ, so their tail
    /// latency is a poor measure of load.
    bool isPlainTargetMet()
    {
        if (serviceTimes.empty())
            return true;
        const auto median = static_cast<double>(percentile(serviceTimes, 0.5).count());
        latencyFloorNs =
                latencyFloorNs ? std::min(*latencyFloorNs * floorRisePerWindow, median) : median;
        const double slackNs = static_cast<double>(nanoseconds(milliseconds(1)).count());
        return median <= 2 * *latencyFloorNs + slackNs;
    }

    /// Sets the limit a tenth, at least 1, below the peak number of requests in flight.
    void shrink()
    {
        // A missed target after an increase shows that the server no longer sustains a provenLimit
        // above the current limit.
        provenLimit = lastChangeWasGrowth ? std::min(provenLimit, limit) : provenLimit;
        recoveryLimit = lastChangeWasGrowth ? limit : std::max(recoveryLimit, limit);
        recoveryLimit = std::min(recoveryLimit, provenLimit);
        lastChangeWasGrowth = false;
        const int used = std::min(limit, peakInFlight);
        limit = std::max(options.minLimit, used - std::max(1, used / 10));
    }

    /// Sets the limit to half the peak number of requests in flight. Steps of a tenth per window
    /// would let a slow server with free slots receive more work until the limit reaches its load.
    void halve()
    {
        recoveryLimit = std::min(std::max(recoveryLimit, limit), provenLimit);
        lastChangeWasGrowth = false;
        limit = std::max(options.minLimit, std::min(limit, peakInFlight) / 2);
    }

    /// Raises the limit by a tenth, or by larger steps below 3/4 of recoveryLimit, so that it
    /// recovers within 5 s after a slowdown even from the lowest limit.
    void grow()
    {
        lastChangeWasGrowth = true;
        const bool isRecovering = limit < recoveryLimit * 3 / 4;
        const int step =
                std::max(1, isRecovering ? std::max(limit / 3, recoveryLimit / 5) : limit / 10);
        limit = std::min(options.maxLimit, limit + step);
        if (!isRecovering)
            recoveryLimit = limit;
    }

    void startWindow(TimePoint now)
    {
        windowStart = now;
        wasSaturated = false;
        peakInFlight = 0;
        firstTokenLatencies.clear();
        interTokenLatencies.clear();
        serviceTimes.clear();
    }

    ConcurrencyLimitOptions options;
    int limit;
    /// Limit to recover to after a slowdown: the one before the latest decrease, at most
    /// provenLimit.
    int recoveryLimit = 0;
    /// Highest limit at which the target was met with nearly all slots in use. It starts at 0,
    /// since the initial limit is untested.
    int provenLimit = 0;
    /// The latest change of the limit was an increase.
    bool lastChangeWasGrowth = false;
    TimePoint windowStart;
    bool isStarted = false;
    /// At a tick of this window, offers waited while nearly all slots were in use.
    bool wasSaturated = false;
    /// Highest number of requests in flight at the ticks of this window.
    int peakInFlight = 0;
    /// Lowest median service time of a plain service; rises by floorRisePerWindow.
    std::optional<double> latencyFloorNs;
    std::vector<nanoseconds> firstTokenLatencies;
    std::vector<nanoseconds> interTokenLatencies;
    std::vector<nanoseconds> serviceTimes;
};

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitOptions &options)
    : impl_(std::make_unique<Impl>(options))
{}

ConcurrencyLimit::~ConcurrencyLimit() = default;

void ConcurrencyLimit::onFirstToken(std::chrono::nanoseconds latency)
{
    impl_->firstTokenLatencies.push_back(latency);
}

void ConcurrencyLimit::onInterTokenLatency(std::chrono::nanoseconds latency)
{
    impl_->interTokenLatencies.push_back(latency);
}

void ConcurrencyLimit::onServiceTime(std::chrono::nanoseconds latency)
{
    impl_->serviceTimes.push_back(latency);
}

void ConcurrencyLimit::onTick(TimePoint now, int inFlight, bool hasWaiting)
{
    Impl &impl = *impl_;
    if (!impl.isStarted) {
        impl.isStarted = true;
        impl.startWindow(now);
    }
    const bool isNearLimit = inFlight >= impl.limit - std::max(1, impl.limit / 10);
    impl.wasSaturated |= hasWaiting && isNearLimit;
    impl.peakInFlight = std::max(impl.peakInFlight, inFlight);
    if (!impl.isWindowComplete(now))
        return;
    const bool isTargetMet = impl.isTargetMet();
    const bool isSevere = !isTargetMet && impl.isSeverelySlow();
    const bool mayGrow = impl.wasSaturated;
    // Requests granted before a decrease may still run above the limit. The limit falls again only
    // after they have ended.
    const bool isWithinLimit = inFlight <= impl.limit;
    if (impl.options.fixedLimit > 0) {
        impl.startWindow(now);
        return;
    }
    if (isTargetMet && mayGrow) {
        impl.provenLimit = std::max(impl.provenLimit, impl.limit);
        impl.grow();
    } else if (!isTargetMet && isWithinLimit && isSevere) {
        impl.halve();
    } else if (!isTargetMet && isWithinLimit) {
        impl.shrink();
    }
    impl.startWindow(now);
}

int ConcurrencyLimit::limit() const
{
    return impl_->limit;
}

} // namespace lovagecourse
