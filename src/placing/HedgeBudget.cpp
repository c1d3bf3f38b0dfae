#include "placing/HedgeBudget.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// With ten buckets, a hedge is earned by the requests of the last ten seconds only, so that hours
// without hedges don't permit a burst.
constexpr seconds bucketLength{1};
// Sums of a share such as 0.02 stay below the whole number by rounding.
constexpr double roundingError = 1e-9;

} // namespace

HedgeBudget::HedgeBudget(double share)
    : share_(share)
{}

void HedgeBudget::setShare(double share)
{
    credit_ = share_ > 0 ? std::min(credit_, credit_ / share_ * share) : 0;
    share_ = share;
}

void HedgeBudget::expire(TimePoint now)
{
    const std::int64_t number = now.time_since_epoch() / bucketLength;
    unsigned requests = 0;
    for (const Bucket &bucket : buckets_) {
        if (bucket.number > number - static_cast<std::int64_t>(bucketCount))
            requests += bucket.requests;
    }
    credit_ = std::min(credit_, share_ * requests);
}

void HedgeBudget::onRequest(TimePoint now)
{
    const std::int64_t number = now.time_since_epoch() / bucketLength;
    Bucket &bucket = buckets_[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = Bucket{number, 0};
    ++bucket.requests;
    credit_ += share_;
    expire(now);
}

bool HedgeBudget::canTake(TimePoint now)
{
    expire(now);
    return credit_ + roundingError >= 1;
}

bool HedgeBudget::tryTake(TimePoint now)
{
    if (!canTake(now))
        return false;
    credit_ -= 1;
    return true;
}

} // namespace lovagecourse
