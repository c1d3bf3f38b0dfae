#pragma once

#include "core/Clock.h"

#include <optional>

namespace lovagecourse {

/// What a service's servers take while they warm up; no limit unless both are positive.
struct WarmingLimits
{
    /// How long a server warms up after its start.
    milliseconds time{0};
    /// Requests a second from all routers together.
    double perSecond = 0;

    bool operator==(const WarmingLimits &) const = default;
};

/// Whether one run of a server is warming up, and how many requests this router may send there
/// meanwhile. Handles a server that has just started, that was evacuated, or that may have been
/// replaced by a new run behind broken connections: all are idle and thus the first choice of every
/// router, and crash when they get much more than their rate.
struct WarmingState
{
    WarmingLimits limits;
    /// When the present warming has begun.
    TimePoint since;
    /// Its end.
    std::optional<TimePoint> until;
    /// Connections have broken at this time, and nothing has shown since that the run goes on.
    std::optional<TimePoint> brokenAt;
    /// The first answer since then, perhaps of a new run.
    std::optional<TimePoint> answeredAt;
    /// This router limits itself for so long after the end.
    std::chrono::nanoseconds ramp{0};
    /// Token bucket; it starts empty and holds at most one token, so that routers that had nothing
    /// to send don't add up to a burst.
    double tokens = 0;
    TimePoint filledAt;
    double ownPerSecond = 0;
};

void setWarmingLimits(WarmingState &state, const WarmingLimits &limits, TimePoint now);
/// share: part of the rate that this router may use.
void setWarmingShare(WarmingState &state, double share, std::chrono::nanoseconds ramp,
                     TimePoint now);
/// The server says that it warms up for so long from now, or with zero that it does not.
void onWarmingReported(WarmingState &state, milliseconds left, TimePoint now);
/// The server may have become idle and cold: it warms up for the service's time from now.
void onMayBeCold(WarmingState &state, TimePoint now);
/// A connection has broken or could not be opened. The server may have restarted without this
/// router knowing, so it counts as warming until something shows which run it is.
void onConnectionBroken(WarmingState &state, TimePoint now);
/// A registration that was written after this time shows the same run.
void onRunShown(WarmingState &state, TimePoint writtenAfter);
/// The list of servers as of this time shows the same run; a new run registers at its start.
void onListRead(WarmingState &state, TimePoint asOf);
/// A request that was sent at this time was answered, perhaps by a new run.
void onAnswered(WarmingState &state, TimePoint sentAt, TimePoint now);

bool isWarming(const WarmingState &state, TimePoint now);
/// Returns whether this router may send a request there; always true for one that is not warming.
bool hasWarmingToken(const WarmingState &state, TimePoint now);
void takeWarmingToken(WarmingState &state, TimePoint now);
/// Time until this router sends there freely; an estimate while connections are broken.
std::chrono::nanoseconds warmingLeft(const WarmingState &state, TimePoint now);

} // namespace lovagecourse
