#pragma once

#include "core/Clock.h"
#include "core/Units.h"
#include "wire/Messages.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Cumulative service of one agent's run per flow, and what homes said of the flows.
///
/// The position of a flow misses what other agents did since their reports in the latest totals:
/// one report interval (250 ms) plus two messages each way, longer by an interval per lost
/// message. While every home is cut off, a flow keeps its last totals plus its own service, and a
/// flow that turns backlogged after 2 s starts no lower than the virtual time last heard; the
/// other agents' service is missing until a home answers, and is then counted in full, since
/// reports are cumulative.
class AccountLedger
{
public:
    AccountLedger() = default;
    /// Ledger that ignores totals for other runs of its agent, which count from another zero.
    explicit AccountLedger(Incarnation self)
        : self_(self)
    {}

    /// Adds service; negative work corrects an estimate that was too high. Reported service
    /// should be measured: an estimate that is corrected later may already have advanced virtual
    /// time, and one that is reported before a restart is never corrected.
    void charge(const FlowId &flow, Share share, Work work, TimePoint now);
    /// Changes the estimated service that running requests still need. It counts in this agent's
    /// position of the flow, but is not reported, and ends with this run.
    void hold(const FlowId &flow, Share share, Work change, TimePoint now);
    /// Notes whether offers of the flow wait at this agent.
    void setBacklogged(const FlowId &flow, Share share, bool backlogged, TimePoint now);
    /// Fleet-wide position: the home's, plus own service that it does not include.
    Position position(const FlowId &flow, Share share) const;
    /// Flows to report, largest unreported service first; backlog changes and stale flows too.
    std::vector<ServiceReportEntry> reportsDue(TimePoint now, std::size_t maxEntries);
    void applyTotals(const FairTotals &totals, TimePoint now);
    /// Fleet's virtual time as heard from homes; the lowest over the services when there are
    /// several, so that it is a lower bound for each.
    Position virtualTime() const;
    /// Fleet's virtual time for one service: the lowest over the homes heard in the last 2 s.
    Position virtualTime(const ServiceId &service) const;
    /// Forgets flows without service or backlog for a long time.
    void expire(TimePoint now);
    std::size_t size() const;

private:
    struct Flow
    {
        Share share{1};
        Work cumulative;
        /// Estimated service that running requests still need.
        Work held;
        Position knownPosition;
        Work included;
        bool backlogged = false;
        bool reportedBacklogged = false;
        bool everBacklogged = false;
        TimePoint lastActive;
        TimePoint lastBacklogged;
        TimePoint lastReport;
        /// A home has answered for this flow.
        bool isConfirmed = false;
    };

    /// Virtual time of one home, which orders its totals.
    struct HomeTime
    {
        Position virtualTime;
        TimePoint lastHeard;
    };

    /// Virtual times of one service.
    struct ServiceTime
    {
        std::unordered_map<DaemonId, HomeTime> homes;
        /// Lowest over the homes, which is the fleet's; never goes back.
        Position virtualTime;
    };

    Flow &flowOf(const FlowId &id, Share share);
    void startAnew(const FlowId &id, Flow &flow) const;
    Position positionOf(const FlowId &id, const Flow &flow) const;
    bool hearVirtualTime(const ServiceId &service, const FairTotals &totals, TimePoint now);
    static bool isDue(const Flow &flow, TimePoint now);

    std::optional<Incarnation> self_;
    std::unordered_map<FlowId, Flow> flows_;
    /// Positions of different services do not compare, so each has its own virtual time.
    std::unordered_map<ServiceId, ServiceTime> services_;
};

} // namespace lovagecourse
