#include "store/StoreContact.h"

#include <algorithm>
#include <utility>

namespace lovagecourse {

void StoreContact::onAnswer(TimePoint at)
{
    if (last_)
        longestSilence_ = std::max(longestSilence_, at - *last_);
    last_ = std::max(last_.value_or(at), at);
}

std::chrono::nanoseconds StoreContact::takeLongestSilence()
{
    return std::exchange(longestSilence_, std::chrono::nanoseconds(0));
}

bool mayHaveExpired(std::chrono::nanoseconds silence, milliseconds renewalInterval)
{
    // The last renewal may be one interval older than the outage, and the next one half an interval
    // later than its end; the outage has lasted for the rest of the three intervals.
    constexpr double minSilentIntervals = 1.5;
    return silence >= minSilentIntervals * renewalInterval;
}

} // namespace lovagecourse
