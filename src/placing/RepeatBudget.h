#pragma once

#include "core/Clock.h"

#include <array>
#include <cstdint>

namespace lovagecourse {

/// Bound on second sends, over all daemons of the fleet.
struct RepeatLimits
{
    /// Second sends per request.
    double ratio = 0;
    /// Second sends beyond that in one window, for the whole fleet.
    double slack = 0;
    seconds window{10};
};

/// One daemon's part of the fleet's budget of second sends to one service. Answers the pattern of
/// a service that fails most requests: sends must not multiply. The part is the daemon's own
/// requests times the ratio, plus an even part of the slack, so daemons need not agree.
class RepeatBudget
{
public:
    explicit RepeatBudget(const RepeatLimits &limits);

    /// Keeps what was used, as long as the window stays the same.
    void setLimits(const RepeatLimits &limits) { limits_ = limits; }
    void onRequest(TimePoint now);
    /// Takes one second send; false when the part is used up. daemons: all of the fleet.
    bool tryTake(std::size_t daemons, TimePoint now);

private:
    static constexpr std::size_t bucketCount = 10;

    struct Bucket
    {
        std::int64_t number = -1;
        unsigned requests = 0;
        unsigned repeats = 0;
    };

    Bucket &bucketOf(TimePoint now);

    RepeatLimits limits_;
    std::array<Bucket, bucketCount> buckets_;
};

} // namespace lovagecourse
