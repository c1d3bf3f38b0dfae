#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <map>

namespace lovagecourse {

/// Keeps a home's answers to agents' reports within a byte budget, and gives each agent its turn.
///
/// A report that gets no answer does no harm: the next answer names cumulative values.
class ReplyPacer
{
public:
    /// bytesPerSecond: budget of all answers together.
    explicit ReplyPacer(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {}

    /// True when a report of the agent that names so many flows is to be answered now.
    bool takeTurn(const DaemonId &agent, std::size_t flows, TimePoint now);
    void forget(const DaemonId &agent) { agents_.erase(agent); }

private:
    struct Agent
    {
        TimePoint answered;
        TimePoint heard;
        double bytes = 0;
    };

    double bytesPerSecond_;
    std::map<DaemonId, Agent> agents_;
    /// Time for one answer to every agent that reports within the budget.
    std::chrono::duration<double> round_{0};
    TimePoint roundUpdated_;
};

} // namespace lovagecourse
