#pragma once

#include "core/Clock.h"

#include <map>
#include <utility>

namespace lovagecourse {

/// Priorities of a request's account and route; 0 is the most urgent. The account's takes
/// precedence.
using RequestPriority = std::pair<int, int>;

/// Ranks the requests of one service by priority among those that this router has received within
/// the last seconds. The rank is relative, so that a service whose requests all have the same
/// priority is not affected, whatever the priority is.
class UrgencyRanks
{
public:
    /// Returns the urgency of a request that has arrived: the part of recent requests that is less
    /// urgent minus the part that is more urgent, from -1 to 1. One in starvationInterval less
    /// urgent requests gets the highest value, so that they get servers even if more urgent
    /// requests alone exceed the capacity.
    double onRequest(const RequestPriority &priority, TimePoint now);

    static constexpr unsigned starvationInterval = 10;

private:
    struct Level
    {
        /// Recent requests, which decay with time.
        double count = 0;
        /// Less urgent requests since the last one that got the highest value.
        unsigned passedOver = 0;
    };

    std::map<RequestPriority, Level> levels_;
    TimePoint decayedAt_;
};

} // namespace lovagecourse
