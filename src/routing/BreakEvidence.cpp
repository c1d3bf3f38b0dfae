#include "routing/BreakEvidence.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// The ends of both connections are read in the same or the next iteration of the event loop. A
// longer time would take servers that often close idle connections for crashed.
constexpr milliseconds maxDistance{100};

/// Returns whether the idle connection can have ended by the crash that broke the request.
bool endedWith(const IdleEnd &idle, const BreakEvidence &evidence)
{
    const auto distance = idle.noticedAt - evidence.brokenAt;
    // An idle connection that was made after the break is one to the next process.
    return idle.establishedAt <= evidence.brokenAt && distance <= maxDistance
           && distance >= -maxDistance && ranAtCrash(evidence.connectedAt, idle.endedAt);
}

} // namespace

std::optional<TimePoint> findCrash(const BreakEvidence &evidence)
{
    const auto found = std::find_if(evidence.idleEnds.rbegin(), evidence.idleEnds.rend(),
                                    [&](const IdleEnd &idle) { return endedWith(idle, evidence); });
    if (found != evidence.idleEnds.rend())
        return found->endedAt;
    return evidence.answersProbe ? std::nullopt : std::optional(evidence.brokenAt);
}

bool ranAtCrash(std::optional<TimePoint> connectedAt, TimePoint crashedAt)
{
    return connectedAt && *connectedAt <= crashedAt;
}

} // namespace lovagecourse
