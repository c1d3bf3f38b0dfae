#include "store/PollTiming.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Parts of the longest delay of a change. Together with an interval or a long poll, one read
// without an answer and its retry leave the rest for a late event loop, the answer to the retry and
// the send of a request. So do a retry without an answer, twice as long, and the delay after it.
constexpr double longPollShare = 0.45;
constexpr double intervalShare = 0.35;
// The router that reads first announces its result to the others, and they postpone their own
// read. Intervals differ by up to this part, so that routers don't read at the same time.
constexpr double staggerShare = 0.1;
constexpr double answerTimeoutShare = 0.3;
constexpr double firstRetryShare = 0.05;
constexpr double maxRetryShare = 0.2;
// Shared by the take-ups of this time, of which many come at once when a server crashes.
constexpr milliseconds leastServersInterval{50};
// Long enough for the store's answer to all routers, which are told of a change at about the same
// time, to arrive and be handled.
constexpr double catchUpShare = 0.1;
// All routers learn of the store's return from an older copy within its first retries, and each
// reads two topics anew. The retry and this delay together stay below longPollShare.
constexpr double fullReadShare = 0.1;

milliseconds part(milliseconds whole, double share)
{
    return std::chrono::duration_cast<milliseconds>(whole * share);
}

PollTiming commonTiming(milliseconds maxDelay, double stagger)
{
    PollTiming timing;
    timing.answerTimeout = part(maxDelay, answerTimeoutShare);
    timing.firstRetryDelay = part(maxDelay, firstRetryShare);
    timing.maxRetryDelay = part(maxDelay, maxRetryShare);
    timing.catchUpDelay = part(maxDelay, catchUpShare);
    timing.fullReadDelay = part(maxDelay, fullReadShare * stagger);
    return timing;
}

} // namespace

PollTiming configurationPollTiming(milliseconds maxDelay, double stagger)
{
    PollTiming timing = commonTiming(maxDelay, stagger);
    timing.longPollWait = part(maxDelay, longPollShare);
    return timing;
}

PollTiming serversPollTiming(milliseconds maxDelay, double stagger)
{
    PollTiming timing = commonTiming(maxDelay, stagger);
    timing.interval = part(maxDelay, intervalShare + staggerShare * stagger);
    timing.leastInterval = std::min(timing.interval, leastServersInterval);
    return timing;
}

} // namespace lovagecourse
