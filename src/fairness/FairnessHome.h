#pragma once

#include "core/Clock.h"
#include "core/Units.h"
#include "wire/Messages.h"

#include <cstddef>
#include <unordered_map>

namespace lovagecourse {

/// Sums the service of the flows that this entry is home of.
///
/// Between accounts that stay backlogged, the gap in normalised service stays within 1 s of fleet
/// capacity divided by the share, plus twice the largest request's cost divided by the share, as
/// long as each agent's reports and totals get through within 1 s.
///
/// The property test reaches this bound only with estimates held at the agents
/// (AccountLedger::hold) and measured service in the reports.
///
/// Reports are cumulative: lost, repeated and reordered ones change the sum only until the next
/// one. A home that has not heard of a flow for 2 s (it is new, restarted, was cut off or replaced
/// another), or meets a new run of an agent, takes the larger of its own and the agent's known
/// position, then adds what that agent says is not included. This counts twice at most what the
/// agent served between the totals that it holds and the newest totals that any agent holds, and
/// misses at most what other agents reported before the largest known position arrived: one report
/// interval each, plus the lost ones. Service of an agent's earlier runs stays in the position;
/// what a run did not report before its end is missed.
///
/// Agents must stop reporting to a dead home within 0.6 s and agree on homes within that time: no
/// totals for 5 s, as when only gossip tells of the death, break the bound.
///
/// Virtual time is kept per service, since positions of different services do not compare. An
/// agent takes the lowest virtual time of the homes that answered it in the last 2 s, which is the
/// fleet's, and reports it; the highest report is the lower bound for flows that turn backlogged
/// and changes no other flow. A home without backlogged flows answers with what it heard, so that
/// it does not hold the lowest one back. A flow that gets less than its share because few agents
/// serve it holds virtual time back; flows that turn backlogged then start that far back too.
class FairnessHome
{
public:
    explicit FairnessHome(DaemonId self);

    /// Takes an agent's report and answers with the positions of the flows in it.
    FairTotals apply(const ServiceReport &report, TimePoint now);
    /// Forgets agents and flows that were not heard of for a long time.
    void expire(TimePoint now);
    /// Least position of the backlogged flows of a service; never goes back.
    Position virtualTime(const ServiceId &service) const;
    /// Lowest of the services' virtual times.
    Position virtualTime() const;
    std::size_t size() const;

private:
    /// Service per second of one agent's server.
    struct AgentCapacity
    {
        Work perSecond;
        TimePoint lastHeard;
        Incarnation incarnation;
        /// Virtual time in the agent's latest report; orders its reports.
        Position virtualTime;
    };

    /// Service of one agent's run that a flow's position includes.
    struct Contribution
    {
        Incarnation incarnation;
        Work included;
        TimePoint lastHeard;
        bool backlogged = false;
    };

    /// What the home knows of one service.
    struct ServiceState
    {
        Position virtualTime;
        /// Highest virtual time in reports: the fleet's.
        Position heardVirtualTime;
        std::unordered_map<DaemonId, AgentCapacity> capacities;
        /// Sum of the capacities.
        Work capacity;
        TimePoint advancedAt;
    };

    struct Flow
    {
        Position position;
        Share share{1};
        std::unordered_map<DaemonId, Contribution> agents;
        TimePoint lastBacklogged;
        bool everBacklogged = false;
        TimePoint lastHeard;
        /// Start of the time in which agents reported the flow here without a long pause.
        TimePoint heardSince;
    };

    /// Null when a newer report of the agent was already heard.
    ServiceState *hear(const ServiceReport &report, const ServiceId &service, TimePoint now);
    static bool isBacklogged(const Flow &flow, TimePoint now);
    /// The agent's contribution; null for a report of an earlier run.
    static Contribution *contact(Flow &flow, const ServiceReport &report,
                                 const ServiceReportEntry &entry);
    static void clampStart(Flow &flow, const ServiceState &service, TimePoint now);
    void advanceVirtualTime(const ServiceId &id, ServiceState &service, TimePoint now);

    DaemonId self_;
    std::unordered_map<FlowId, Flow> flows_;
    std::unordered_map<ServiceId, ServiceState> services_;
};

} // namespace lovagecourse
