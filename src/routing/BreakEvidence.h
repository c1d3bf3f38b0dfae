#pragma once

#include "core/Clock.h"

#include <optional>
#include <vector>

namespace lovagecourse {

/// End of an idle connection to a backend server.
struct IdleEnd
{
    TimePoint establishedAt;
    /// Latest time at which the server's side may have ended it.
    TimePoint endedAt;
    /// When this process noticed the end, which is later when the process is late.
    TimePoint noticedAt;
};

/// What is known after the connection of a request to a backend server broke.
struct BreakEvidence
{
    /// When the request's connection was ready; no byte of it was sent before. Empty if no
    /// connection was made.
    std::optional<TimePoint> connectedAt;
    /// When this process noticed the break.
    TimePoint brokenAt;
    /// The server answered a probe that was sent after the break.
    bool answersProbe = false;
    /// Latest ends of idle connections to the server.
    std::vector<IdleEnd> idleEnds;
};

/// Returns the latest time at which the server may have crashed under the request; empty if it did
/// not crash. A server that restarts within milliseconds answers the probe; then the crash shows in
/// an idle connection that ended together with that of the request.
std::optional<TimePoint> findCrash(const BreakEvidence &evidence);

/// Returns whether a request was sent to the process that crashed. A request whose connection was
/// ready only after the crash went to the next process.
bool ranAtCrash(std::optional<TimePoint> connectedAt, TimePoint crashedAt);

} // namespace lovagecourse
