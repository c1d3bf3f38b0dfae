#include "placing/RepeatBudget.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// The rest covers requests that the window no longer sees and daemons that restart with an
// unused part.
constexpr double usedShare = 0.7;

} // namespace

RepeatBudget::RepeatBudget(const RepeatLimits &limits)
    : limits_(limits)
{}

RepeatBudget::Bucket &RepeatBudget::bucketOf(TimePoint now)
{
    const auto length = std::chrono::nanoseconds(limits_.window) / bucketCount;
    const std::int64_t number = now.time_since_epoch() / length;
    Bucket &bucket = buckets_[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = Bucket{number, 0, 0};
    return bucket;
}

void RepeatBudget::onRequest(TimePoint now)
{
    ++bucketOf(now).requests;
}

bool RepeatBudget::tryTake(std::size_t daemons, TimePoint now)
{
    Bucket &current = bucketOf(now);
    double requests = 0;
    double repeats = 0;
    for (const Bucket &bucket : buckets_) {
        if (bucket.number <= current.number - static_cast<std::int64_t>(bucketCount))
            continue;
        requests += bucket.requests;
        repeats += bucket.repeats;
    }
    const double slack = limits_.slack / static_cast<double>(std::max<std::size_t>(1, daemons));
    if (repeats + 1 > usedShare * (limits_.ratio * requests + slack))
        return false;
    ++current.repeats;
    return true;
}

} // namespace lovagecourse
