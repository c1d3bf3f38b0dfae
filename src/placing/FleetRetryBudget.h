#pragma once

#include "core/Clock.h"

#include <array>
#include <cstdint>

namespace lovagecourse {

/// Limit on the retries of all routers together.
struct RetryLimits
{
    /// Retries per request.
    double ratio = 0;
    /// Further retries in one window, for the whole fleet.
    double slack = 0;
    seconds window{10};
};

/// One router's part of the fleet's retry budget for one service, so that retries don't multiply
/// the load of a service that fails most requests. The part is the router's own requests in a
/// sliding window times the ratio, plus an even part of the slack, so routers need not coordinate.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(const RetryLimits &limits);

    /// Keeps the counts of requests and retries if the window is unchanged.
    void setLimits(const RetryLimits &limits) { limits_ = limits; }
    void onRequest(TimePoint now);
    /// Takes one retry; false when the part is used up. routers: number of routers in the fleet.
    bool tryTake(std::size_t routers, TimePoint now);

private:
    static constexpr std::size_t bucketCount = 10;

    struct Bucket
    {
        std::int64_t number = -1;
        unsigned requests = 0;
        unsigned retries = 0;
    };

    Bucket &bucketOf(TimePoint now);

    RetryLimits limits_;
    std::array<Bucket, bucketCount> buckets_;
};

} // namespace lovagecourse
