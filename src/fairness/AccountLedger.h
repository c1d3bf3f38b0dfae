#pragma once

#include "core/Clock.h"
#include "core/Units.h"
#include "wire/Messages.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Cumulative service of one agent's run per flow, and what homes said of the flows.
class AccountLedger
{
public:
    /// Adds service; negative work corrects an estimate that was too high.
    void charge(const FlowId &flow, Share share, Work work, TimePoint now);
    /// Notes whether offers of the flow wait at this agent.
    void setBacklogged(const FlowId &flow, Share share, bool backlogged, TimePoint now);
    /// Fleet-wide position: the home's, plus own service that it does not include.
    Position position(const FlowId &flow, Share share) const;
    /// Flows to report, largest unreported service first; backlog changes and stale flows too.
    std::vector<ServiceReportEntry> reportsDue(TimePoint now, std::size_t maxEntries);
    void applyTotals(const FairTotals &totals, TimePoint now);
    /// Highest virtual time heard from homes.
    Position virtualTime() const;
    /// Forgets flows without service or backlog for a long time.
    void expire(TimePoint now);
    std::size_t size() const;

private:
    struct Flow
    {
        Share share{1};
        Work cumulative;
        Position knownPosition;
        Work included;
        Work lastReported;
        bool backlogged = false;
        bool reportedBacklogged = false;
        bool isKnownToHome = false;
        TimePoint lastActive;
        TimePoint lastReport;
    };

    std::unordered_map<FlowId, Flow> flows_;
    Position virtualTime_;
};

} // namespace lovagecourse
