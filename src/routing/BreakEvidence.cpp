#include "routing/BreakEvidence.h"

#include <algorithm>
#include <iterator>

namespace lovagecourse {

namespace {

// The ends of all connections are read in the same or the next iteration of the event loop. A
// longer time would take servers that often close idle connections for crashed.
constexpr milliseconds maxDistance{100};
// Servers keep idle connections for at least this long. A server that has just restarted may crash
// again before there is a second idle connection; the short life of the first one shows it.
constexpr milliseconds minIdleTimeout{1000};

/// Returns whether the idle connection can have ended by the crash that broke the request.
bool endedWith(const IdleEnd &idle, const BreakEvidence &evidence)
{
    const auto distance = idle.noticedAt - evidence.brokenAt;
    // An idle connection that was made after the break is one to the next process.
    return idle.establishedAt <= evidence.brokenAt && distance <= maxDistance
           && distance >= -maxDistance && ranAtCrash(evidence.connectedAt, idle.endedAt);
}

} // namespace

BreakVerdict judgeBreak(const BreakEvidence &evidence)
{
    std::vector<IdleEnd> ends;
    std::copy_if(evidence.idleEnds.begin(), evidence.idleEnds.end(), std::back_inserter(ends),
                 [&](const IdleEnd &idle) { return endedWith(idle, evidence); });
    if (evidence.probe == ProbeResult::Refused)
        return ServerCrashed{ends.empty() ? evidence.brokenAt : ends.back().endedAt};
    if (evidence.oldestOpenIdle && *evidence.oldestOpenIdle <= evidence.brokenAt)
        return ServerRuns{};
    for (std::size_t i = ends.size(); i-- > 0;) {
        const IdleEnd &end = ends[i];
        if (end.endedAt - end.establishedAt < minIdleTimeout)
            return ServerCrashed{end.endedAt};
        if (i > 0 && std::chrono::abs(end.endedAt - ends[i - 1].endedAt) <= maxDistance)
            return ServerCrashed{std::max(end.endedAt, ends[i - 1].endedAt)};
    }
    const bool isSilent = evidence.probe == ProbeResult::Silent;
    if (isSilent || !ends.empty())
        return ServerStateUnknown{};
    return ServerRuns{};
}

bool ranAtCrash(std::optional<TimePoint> connectedAt, TimePoint crashedAt)
{
    return connectedAt && *connectedAt <= crashedAt;
}

} // namespace lovagecourse
