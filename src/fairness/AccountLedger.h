#pragma once

#include "core/Clock.h"
#include "core/Units.h"
#include "wire/Messages.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Cumulative service per flow in one incarnation of an agent, and the latest totals from homes.
/// The home of a flow is the entry that sums the service of all agents (see FairnessHome).
///
/// Positions lag behind the service of other agents by a report interval (250 ms) and the message
/// delays, plus one interval per lost message. While no home is reachable, later service of other
/// agents is missing; the next totals add it in full, since reports are cumulative.
class AccountLedger
{
public:
    AccountLedger() = default;
    /// Ledger that ignores totals for other incarnations of the agent, since each counts from 0.
    explicit AccountLedger(Incarnation incarnation)
        : incarnation_(incarnation)
    {}

    /// Adds service; negative work corrects an estimate that was too high. Prefer measured work: a
    /// reported estimate may advance virtual time before its correction, and if the agent restarts
    /// first, it is never corrected.
    void charge(const FlowId &flow, Share share, Work work, TimePoint now);
    /// Adds change to the estimated service that running requests still need. It counts in this
    /// agent's position of the flow, is not reported to homes and is lost on restart.
    void adjustOutstanding(const FlowId &flow, Share share, Work change, TimePoint now);
    /// Sets whether offers of the flow wait at this agent.
    void setBacklogged(const FlowId &flow, Share share, bool backlogged, TimePoint now);
    /// Fleet-wide position: the home's plus this agent's service that it does not include yet.
    Position position(const FlowId &flow, Share share) const;
    /// Returns up to maxEntries flows to report and marks them as reported. Flows are due when they
    /// have unreported service, a changed backlog or a backlog to refresh; those with the most
    /// unreported service, weighted by the time since their last report, come first.
    std::vector<ServiceReportEntry> reportsDue(TimePoint now, std::size_t maxEntries);
    /// Applies positions received from a home; skips entries for which newer totals were applied.
    void applyTotals(const FairTotals &totals, TimePoint now);
    /// Lowest of the services' virtual times, so a lower bound for each; 0 before any totals.
    Position virtualTime() const;
    /// Fleet-wide virtual time of a service: the lowest over the homes that answered in the last
    /// 2 s. Never decreases.
    Position virtualTime(const ServiceId &service) const;
    /// Removes flows without service, backlog and reports for 10 minutes.
    void expire(TimePoint now);
    /// Number of flows.
    std::size_t size() const;

private:
    struct Flow
    {
        Share share{1};
        /// Service by this incarnation since its start.
        Work cumulative;
        /// Estimated service that running requests still need.
        Work outstanding;
        /// Position in the latest totals, raised to virtual time after idle periods.
        Position knownPosition;
        /// Part of cumulative that knownPosition includes.
        Work included;
        bool backlogged = false;
        bool reportedBacklogged = false;
        bool everBacklogged = false;
        TimePoint lastActive;
        TimePoint lastBacklogged;
        TimePoint lastReport;
        /// Totals with this flow were applied.
        bool isConfirmed = false;
    };

    /// Latest virtual time from one home; detects reordered totals.
    struct HomeVirtualTime
    {
        Position virtualTime;
        TimePoint lastReceived;
    };

    /// Virtual time of one service, per home and fleet-wide.
    struct ServiceVirtualTime
    {
        std::unordered_map<DaemonId, HomeVirtualTime> homes;
        /// Lowest over the homes; never decreases.
        Position virtualTime;
    };

    /// Finds or adds the flow and sets its share.
    Flow &flowOf(const FlowId &id, Share share);
    /// Raises the position of a flow after an idle period to virtual time, if it is lower.
    void raiseToVirtualTime(const FlowId &id, Flow &flow) const;
    Position positionOf(const FlowId &id, const Flow &flow) const;
    /// False when newer totals of the home were already received.
    bool recordVirtualTime(const ServiceId &service, const FairTotals &totals, TimePoint now);
    static bool isDue(const Flow &flow, TimePoint now);

    std::optional<Incarnation> incarnation_;
    std::unordered_map<FlowId, Flow> flows_;
    /// Positions of different services are not comparable, so each has its own virtual time.
    std::unordered_map<ServiceId, ServiceVirtualTime> services_;
};

} // namespace lovagecourse
