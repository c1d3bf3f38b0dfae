#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <map>

namespace lovagecourse {

/// What a report is answered with.
enum class ReplyKind : std::uint8_t {
    None,
    /// Totals without flows, which only show that the home is there.
    Brief,
    Full
};

/// Keeps a home's answers to agents' reports within a byte budget, and gives each agent its turn.
///
/// A report that gets no answer does no harm: the next answer names cumulative values. No agent
/// waits for an answer of some kind for much over 2 s, since agents take a home as gone after 3 s.
/// Brief answers come on top of the budget: 110 bytes per agent and 2 s.
class ReplyPacer
{
public:
    /// bytesPerSecond: budget of all answers together.
    explicit ReplyPacer(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {}

    /// Answer to a report of the agent that names so many flows.
    ReplyKind takeTurn(const DaemonId &agent, std::size_t flows, TimePoint now);
    void forget(const DaemonId &agent) { agents_.erase(agent); }

private:
    struct Agent
    {
        TimePoint answeredFull;
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
