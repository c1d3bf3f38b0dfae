#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>

namespace lovagecourse {

/// Reply to an agent's report.
enum class ReplyKind : std::uint8_t {
    None,
    /// Totals without flows; they only show that the home is responsive.
    KeepAlive,
    /// Totals of all flows in the report.
    Full
};

/// Limits the full replies of a home to a byte rate; each agent gets one per cycle.
///
/// Unanswered reports are harmless, since the next reply carries cumulative values. Each agent gets
/// some reply within little more than 2 s, since agents consider a home unresponsive after 3 s.
/// Keep-alive replies are not part of the budget: 110 bytes per agent every 2 s.
class ReplyPacer
{
public:
    /// bytesPerSecond: budget of the full replies to all agents.
    explicit ReplyPacer(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {}

    /// Chooses the reply to the agent's report, which contains the given number of flows.
    ReplyKind nextReply(const DaemonId &agent, std::size_t flows, TimePoint now);
    /// Removes an agent, whose next report then gets a full reply.
    void forget(const DaemonId &agent) { agents_.erase(agent); }

private:
    struct Agent
    {
        TimePoint lastFullReply;
        TimePoint lastReply;
        TimePoint lastReport;
        /// Estimated size of a full reply.
        double bytes = 0;
    };

    double bytesPerSecond_;
    std::map<DaemonId, Agent> agents_;
    /// Time for one full reply to each active agent at the budgeted rate.
    std::chrono::duration<double> cycle_{0};
    TimePoint cycleUpdatedAt_;
};

} // namespace lovagecourse
