#pragma once

#include "core/Clock.h"
#include "core/Units.h"
#include "wire/Messages.h"

#include <cstddef>
#include <unordered_map>

namespace lovagecourse {

/// Sums the service of the flows that this entry is home of.
class FairnessHome
{
public:
    explicit FairnessHome(DaemonId self);

    /// Takes an agent's report and answers with the positions of the flows in it.
    FairTotals apply(const ServiceReport &report, TimePoint now);
    /// Forgets agents and flows that were not heard of for a long time.
    void expire(TimePoint now);
    /// Least position of the backlogged flows; never goes back.
    Position virtualTime() const;
    std::size_t size() const;

private:
    /// Service of one agent's run that a flow's position includes.
    struct Contribution
    {
        Incarnation incarnation;
        Work included;
        TimePoint lastHeard;
        bool backlogged = false;
    };

    struct Flow
    {
        Position position;
        Share share{1};
        std::unordered_map<DaemonId, Contribution> agents;
        TimePoint lastBacklogged;
        bool everBacklogged = false;
        TimePoint lastHeard;
    };

    void advanceVirtualTime(TimePoint now);

    DaemonId self_;
    std::unordered_map<FlowId, Flow> flows_;
    std::unordered_map<DaemonId, Work> capacities_;
    Position virtualTime_;
};

} // namespace lovagecourse
