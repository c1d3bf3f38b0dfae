#include "scheduling/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <vector>

namespace lovagecourse {

namespace {

using std::chrono::nanoseconds;

constexpr milliseconds windowLength{500};
/// A window with this many samples may close after shortestWindow.
constexpr std::size_t fullWindow = 30;
constexpr milliseconds shortestWindow{200};
/// A window with fewer samples stays open up to twice its length: one slow request is no trend.
constexpr std::size_t fewSamples = 5;
/// A percentile beyond this multiple of its aim shows a slowed server, not one request too many.
constexpr int severeMiss = 2;
/// Rise of a plain service's latency floor per window, about 1% per second.
constexpr double floorRise = 1.005;

/// Value that the given part of the samples does not exceed; samples must not be empty.
nanoseconds percentile(std::vector<nanoseconds> &samples, double part)
{
    const auto last = static_cast<double>(samples.size() - 1);
    const auto rank = std::lround(last * part);
    std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
    return samples[static_cast<std::size_t>(rank)];
}

} // namespace

struct ConcurrencyLimit::Impl
{
    explicit Impl(const ConcurrencyLimitOptions &initial)
        : options(initial)
        , limit(startLimit(initial))
    {}

    static int startLimit(const ConcurrencyLimitOptions &options)
    {
        if (options.fixedLimit > 0)
            return options.fixedLimit;
        return std::clamp(options.maxLimit / 2, options.minLimit, options.maxLimit);
    }

    std::size_t sampleCount() const
    {
        return firstTokens.size() + tokenGaps.size() + serviceTimes.size();
    }

    bool windowEnds(TimePoint now)
    {
        const auto age = now - windowStart;
        const std::size_t samples = sampleCount();
        if (samples == 0)
            return false;
        if (aimIsFarMissed())
            return age >= shortestWindow;
        if (samples >= fullWindow)
            return age >= shortestWindow;
        return age >= (samples < fewSamples ? 2 * windowLength : windowLength);
    }

    bool aimIsMet()
    {
        if (options.kind == ServiceKind::Plain)
            return plainAimIsMet();
        const bool firstTokenIsLate =
                !firstTokens.empty() && percentile(firstTokens, 0.95) > options.firstTokenAim;
        const bool gapIsLong =
                !tokenGaps.empty() && percentile(tokenGaps, 0.95) > options.tokenGapAim;
        return !firstTokenIsLate && !gapIsLong;
    }

    /// The server is slow whatever its load; only tokens tell that before requests end.
    bool aimIsFarMissed()
    {
        return tokenGaps.size() >= fewSamples
               && percentile(tokenGaps, 0.5) > severeMiss * options.tokenGapAim;
    }

    /// Compares medians, since costs of plain calls differ and their tail says little of load.
    bool plainAimIsMet()
    {
        if (serviceTimes.empty())
            return true;
        const auto median = static_cast<double>(percentile(serviceTimes, 0.5).count());
        floorNs = floorNs ? std::min(*floorNs * floorRise, median) : median;
        const double slack = static_cast<double>(nanoseconds(milliseconds(1)).count());
        return median <= 2 * *floorNs + slack;
    }

    void shrink()
    {
        // A miss right after a rise shows that the server no longer carries the earlier limit.
        provenLimit = grewLast ? std::min(provenLimit, limit) : provenLimit;
        goodLimit = grewLast ? limit : std::max(goodLimit, limit);
        goodLimit = std::min(goodLimit, provenLimit);
        grewLast = false;
        const int used = std::min(limit, mostInFlight);
        limit = std::max(options.minLimit, used - std::max(1, used / 10));
    }

    /// Halves what is in use: a slowed server below its limit would get work until the limit, which
    /// falls by a tenth per window, comes down to it.
    void shrinkBelowUse()
    {
        goodLimit = std::min(std::max(goodLimit, limit), provenLimit);
        grewLast = false;
        limit = std::max(options.minLimit, std::min(limit, mostInFlight) / 2);
    }

    /// Rises faster up to a level that was in use before a slowdown, to recover within 5 s even
    /// from the lowest limit.
    void grow()
    {
        grewLast = true;
        const bool recovers = limit < goodLimit * 3 / 4;
        const int step = std::max(1, recovers ? std::max(limit / 3, goodLimit / 5) : limit / 10);
        limit = std::min(options.maxLimit, limit + step);
        if (!recovers)
            goodLimit = limit;
    }

    void startWindow(TimePoint now)
    {
        windowStart = now;
        wasFull = false;
        mostInFlight = 0;
        firstTokens.clear();
        tokenGaps.clear();
        serviceTimes.clear();
    }

    ConcurrencyLimitOptions options;
    int limit;
    /// Limit in use before the latest decline.
    int goodLimit = 0;
    /// Highest limit at which the aim was met with nearly all slots in use; the starting limit is
    /// no evidence.
    int provenLimit = 0;
    bool grewLast = false;
    TimePoint windowStart;
    bool isStarted = false;
    /// Work waited while nearly all slots were in use, at some tick of this window.
    bool wasFull = false;
    /// Most requests in flight at the ticks of this window.
    int mostInFlight = 0;
    std::optional<double> floorNs;
    std::vector<nanoseconds> firstTokens;
    std::vector<nanoseconds> tokenGaps;
    std::vector<nanoseconds> serviceTimes;
};

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitOptions &options)
    : impl_(std::make_unique<Impl>(options))
{}

ConcurrencyLimit::~ConcurrencyLimit() = default;

void ConcurrencyLimit::onFirstToken(std::chrono::nanoseconds latency)
{
    impl_->firstTokens.push_back(latency);
}

void ConcurrencyLimit::onTokenGap(std::chrono::nanoseconds gap)
{
    impl_->tokenGaps.push_back(gap);
}

void ConcurrencyLimit::onServiceTime(std::chrono::nanoseconds latency)
{
    impl_->serviceTimes.push_back(latency);
}

void ConcurrencyLimit::onTick(TimePoint now, int inFlight, bool workWaits)
{
    Impl &impl = *impl_;
    if (!impl.isStarted) {
        impl.isStarted = true;
        impl.startWindow(now);
    }
    const bool nearLimit = inFlight >= impl.limit - std::max(1, impl.limit / 10);
    impl.wasFull |= workWaits && nearLimit;
    impl.mostInFlight = std::max(impl.mostInFlight, inFlight);
    if (!impl.windowEnds(now))
        return;
    const bool aimIsMet = impl.aimIsMet();
    const bool isSlow = !aimIsMet && impl.aimIsFarMissed();
    const bool mayGrow = impl.wasFull;
    // Requests that were granted before the limit fell still run; the next verdict on the server
    // is due when they have ended.
    const bool isSettled = inFlight <= impl.limit;
    if (impl.options.fixedLimit > 0) {
        impl.startWindow(now);
        return;
    }
    if (aimIsMet && mayGrow) {
        impl.provenLimit = std::max(impl.provenLimit, impl.limit);
        impl.grow();
    } else if (!aimIsMet && isSettled && isSlow) {
        impl.shrinkBelowUse();
    } else if (!aimIsMet && isSettled) {
        impl.shrink();
    }
    impl.startWindow(now);
}

int ConcurrencyLimit::limit() const
{
    return impl_->limit;
}

} // namespace lovagecourse
