#pragma once

#include "core/Clock.h"
#include "placing/RequestLimit.h"

#include <cstdint>
#include <optional>

namespace lovagecourse {

/// Why a server gets no request.
enum class Withheld : std::uint8_t {
    No,
    /// Its registration says that it leaves.
    Draining,
    /// One of its answers said that it leaves.
    Leaving,
    /// One of its answers said that it wants no request for a time.
    Paused,
    /// Its pause is over, but no answer has shown yet that it takes requests again.
    Probing,
    /// This router has used its part of the requests that the server takes.
    Limited,
    /// Its data centre is evacuated.
    Evacuated,
    /// It is warming up, and this router has used its share of the requests that it takes.
    Warming
};

/// What one run of a server has said in its answers.
struct ServerWords
{
    /// When it first said that it leaves; holds until its run ends.
    std::optional<TimePoint> leavingSince;
    /// When it last asked for a pause, and the pause's end.
    std::optional<TimePoint> pausedAt;
    TimePoint pausedUntil;
    RequestLimit limit;
};

/// Requests of one router that a server gets at the same time after a pause, until it answers one.
constexpr unsigned maxProbesAfterPause = 2;

/// Decides whether a server may get a request. isDraining: its registration says that it leaves;
/// running: requests of this router that are in flight there.
Withheld withheldReason(bool isDraining, const ServerWords &words, unsigned running, TimePoint now);

/// A later pause replaces the one before it.
void onPauseHeard(ServerWords &words, milliseconds pause, TimePoint now);
/// An answer that is no refusal ends the probing after a pause, if its request was sent after the
/// pause; it shortens no pause. Returns whether it has ended the probing.
bool onAnswerHeard(ServerWords &words, TimePoint sentAt);

} // namespace lovagecourse
