#pragma once

#include "core/Clock.h"
#include "core/Units.h"
#include "wire/Messages.h"

#include <cstddef>
#include <unordered_map>

namespace lovagecourse {

/// Sums the service that agents report for the flows whose home is this entry, and keeps virtual
/// time per service.
///
/// The gap in normalised service between accounts that stay backlogged is at most
/// (1 s of fleet capacity + 2 * largest request cost) / share. This requires that each agent's
/// reports and totals arrive within 1 s, that agents report measured service and keep estimates
/// local (AccountLedger::adjustOutstanding), and that they agree on a new home within 0.6 s after
/// one fails. An outage of 5 s, the detection time by gossip alone, exceeds the bound.
///
/// Reports are cumulative, so the next one corrects the effect of lost, repeated or reordered ones.
class FairnessHome
{
public:
    explicit FairnessHome(DaemonId self);

    /// Applies an agent's report and returns the positions of its flows. Flows of reordered reports
    /// or earlier incarnations, and those without a positive share, are left out.
    FairTotals apply(const ServiceReport &report, TimePoint now);
    /// Removes agents and flows without recent reports; call it from time to time.
    void expire(TimePoint now);
    /// Lowest position of the backlogged flows of a service; never decreases.
    Position virtualTime(const ServiceId &service) const;
    /// Lowest of the services' virtual times; 0 without services.
    Position virtualTime() const;
    /// Number of flows.
    std::size_t size() const;

private:
    /// Capacity of one agent's server.
    struct AgentCapacity
    {
        Work perSecond;
        TimePoint lastReceived;
        Incarnation incarnation;
        /// Virtual time in the agent's latest report; detects reordered reports.
        Position virtualTime;
    };

    /// Service by one incarnation of an agent that a flow's position includes.
    struct Contribution
    {
        Incarnation incarnation;
        Work included;
        TimePoint lastReceived;
        bool backlogged = false;
    };

    /// Virtual time and capacity of one service.
    struct ServiceState
    {
        /// Lowest position of the backlogged flows with this home; never decreases.
        Position virtualTime;
        /// Highest virtual time in agents' reports, each the lowest over the homes that answered
        /// the agent. Lower bound for flows that become backlogged; other flows do not change.
        Position fleetVirtualTime;
        std::unordered_map<DaemonId, AgentCapacity> capacities;
        /// Sum of the agents' capacities per second.
        Work capacity;
        /// Time of the last computation of virtualTime.
        TimePoint advancedAt;
    };

    struct Flow
    {
        Position position;
        Share share{1};
        std::unordered_map<DaemonId, Contribution> agents;
        TimePoint lastBacklogged;
        bool everBacklogged = false;
        TimePoint lastReceived;
        /// Start of the period in which agents reported the flow here without a pause of 2 s.
        TimePoint reportedSince;
    };

    /// Updates the agent's capacity and the fleet's virtual time; null when a newer report of the
    /// agent was already received.
    ServiceState *recordReport(const ServiceReport &report, const ServiceId &service,
                               TimePoint now);
    static bool isBacklogged(const Flow &flow, TimePoint now);
    /// Contribution of the agent to the flow; null for a report of an earlier incarnation.
    ///
    /// The first report of an agent, of its new incarnation or after a change of home raises the
    /// position to the agent's known position, and only service that this does not include is
    /// added. This may count twice what the agent served between its totals and the newest totals
    /// of any agent, and may miss one report interval of other agents plus their lost reports.
    /// Reported service of earlier incarnations stays in the position; the rest is lost.
    static Contribution *contributionOf(Flow &flow, const ServiceReport &report,
                                        const ServiceReportEntry &entry);
    /// Bounds the position of a flow that becomes backlogged. After idle time, it lies between
    /// virtual time and virtual time plus 1 s of fleet capacity divided by the share; after a
    /// shorter pause, at most half that amount below virtual time.
    static void clampStart(Flow &flow, const ServiceState &service, TimePoint now);
    /// Without backlogged flows here, virtual time follows the fleet's, so that this home does not
    /// hold back the minimum over the homes. A flow that gets less than its share, because few
    /// agents serve it, does hold it back, and flows that become backlogged then start lower too.
    void advanceVirtualTime(const ServiceId &id, ServiceState &service, TimePoint now);

    DaemonId self_;
    std::unordered_map<FlowId, Flow> flows_;
    std::unordered_map<ServiceId, ServiceState> services_;
};

} // namespace lovagecourse
