#include "placing/FleetRetryBudget.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Usable part of the budget. The rest covers requests that have left the window, and routers that
// restart with an unused part.
constexpr double usableBudgetShare = 0.7;

} // namespace

FleetRetryBudget::FleetRetryBudget(const RetryLimits &limits)
    : limits_(limits)
{}

FleetRetryBudget::Bucket &FleetRetryBudget::bucketOf(TimePoint now)
{
    const auto length = std::chrono::nanoseconds(limits_.window) / bucketCount;
    const std::int64_t number = now.time_since_epoch() / length;
    Bucket &bucket = buckets_[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = Bucket{number, 0, 0};
    return bucket;
}

void FleetRetryBudget::onRequest(TimePoint now)
{
    ++bucketOf(now).requests;
}

bool FleetRetryBudget::tryTake(std::size_t routers, TimePoint now)
{
    Bucket &current = bucketOf(now);
    double requests = 0;
    double retries = 0;
    for (const Bucket &bucket : buckets_) {
        if (bucket.number <= current.number - static_cast<std::int64_t>(bucketCount))
            continue;
        requests += bucket.requests;
        retries += bucket.retries;
    }
    const double slack = limits_.slack / static_cast<double>(std::max<std::size_t>(1, routers));
    if (retries + 1 > usableBudgetShare * (limits_.ratio * requests + slack))
        return false;
    ++current.retries;
    return true;
}

} // namespace lovagecourse
