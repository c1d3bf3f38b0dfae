#pragma once

#include "core/Clock.h"

namespace lovagecourse {

/// Timing of a topic's reads.
struct PollTiming
{
    /// Time from the start of a read to the start of the next.
    milliseconds interval{0};
    /// Least time from the start of a read to the start of one that a caller asks for.
    milliseconds leastInterval{0};
    /// Time for which the store may hold a read until a record arrives; 0 for no long poll. A read
    /// after a failed one is not held.
    milliseconds longPollWait{0};
    /// Time from a failed read to the next one; grows with each further failure up to
    /// maxRetryDelay.
    milliseconds firstRetryDelay{100};
    milliseconds maxRetryDelay{400};
    /// Time after which a read without an answer has failed, besides longPollWait. Doubled after a
    /// failure, in case that the store is slow.
    milliseconds answerTimeout{800};
    /// Time from another router's news of records that this one has not read to a read of its own.
    milliseconds catchUpDelay{200};
    /// Time from a change of the store's era to the full read.
    milliseconds fullReadDelay{0};
};

/// Timing for the configuration: a long poll, which returns changes at once. A change is read
/// within maxDelay of its write, also when one read gets no answer, and within maxDelay of the
/// return of a store that was silent. stagger, from 0 to 1, spreads the full reads of routers.
PollTiming configurationPollTiming(milliseconds maxDelay, double stagger);
/// Timing for the registrations of servers: reads at an interval, because the heartbeats of all
/// servers would end a long poll many times a second. A change is read within maxDelay of its
/// write, also when one read gets no answer. stagger, from 0 to 1, spreads the reads of routers.
PollTiming serversPollTiming(milliseconds maxDelay, double stagger);

} // namespace lovagecourse
