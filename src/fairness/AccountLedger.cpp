#include "fairness/AccountLedger.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

/// Unconfirmed service is reported again after this time.
constexpr milliseconds retransmitTimeout{200};
/// Backlogged flows are reported at least this often, since homes expire a backlog after 2 s.
constexpr milliseconds backlogRefreshInterval{900};
/// A flow without backlog for this long is idle; the next backlog raises it to virtual time. Homes
/// use the same value.
constexpr seconds idleTimeout{2};
/// Flows without service, backlog and reports for this long are removed. A flow that returns counts
/// from 0, so this must exceed the 30 s for which homes keep the agent's old contribution.
constexpr seconds flowExpiry{600};
/// Totals with a lower virtual time than others received from the same home within this time are
/// reordered.
constexpr seconds reorderWindow{1};
/// Homes that did not answer for this long are left out of the fleet-wide virtual time.
constexpr seconds homeTimeout{2};
/// Unreported service up to this is ignored as a rounding error.
constexpr double minUnreportedWork = 1e-6;

} // namespace

AccountLedger::Flow &AccountLedger::flowOf(const FlowId &id, Share share)
{
    Flow &flow = flows_[id];
    flow.share = share;
    return flow;
}

void AccountLedger::raiseToVirtualTime(const FlowId &id, Flow &flow) const
{
    const Position current = positionOf(id, flow);
    const Position start = std::max(current, virtualTime(id.service));
    flow.knownPosition += start - current;
}

void AccountLedger::charge(const FlowId &id, Share share, Work work, TimePoint now)
{
    Flow &flow = flowOf(id, share);
    flow.cumulative += work;
    flow.lastActive = now;
}

void AccountLedger::adjustOutstanding(const FlowId &id, Share share, Work change, TimePoint now)
{
    Flow &flow = flowOf(id, share);
    flow.outstanding += change;
    flow.lastActive = now;
}

void AccountLedger::setBacklogged(const FlowId &id, Share share, bool backlogged, TimePoint now)
{
    Flow &flow = flowOf(id, share);
    const bool becomesBacklogged = backlogged && !flow.backlogged;
    const bool wasIdle = !flow.everBacklogged || now - flow.lastBacklogged >= idleTimeout;
    if (becomesBacklogged && wasIdle)
        raiseToVirtualTime(id, flow);
    if (backlogged || flow.backlogged) {
        flow.lastBacklogged = now;
        flow.everBacklogged = true;
    }
    flow.backlogged = backlogged;
    flow.lastActive = now;
}

Position AccountLedger::positionOf(const FlowId &id, const Flow &flow) const
{
    // After a restart, the known position is 0 until the home answers, far below other flows.
    const Position base = flow.isConfirmed ? flow.knownPosition
                                           : std::max(flow.knownPosition, virtualTime(id.service));
    return base + (flow.cumulative + flow.outstanding - flow.included) / flow.share;
}

Position AccountLedger::position(const FlowId &id, Share share) const
{
    const auto found = flows_.find(id);
    if (found == flows_.end())
        return virtualTime(id.service);
    Flow flow = found->second;
    flow.share = share;
    return positionOf(id, flow);
}

bool AccountLedger::isDue(const Flow &flow, TimePoint now)
{
    const auto age = now - flow.lastReport;
    if (flow.backlogged != flow.reportedBacklogged)
        return true;
    if (age < retransmitTimeout)
        return false;
    const double unreported = std::abs((flow.cumulative - flow.included).value);
    return unreported > minUnreportedWork || (flow.backlogged && age >= backlogRefreshInterval);
}

std::vector<ServiceReportEntry> AccountLedger::reportsDue(TimePoint now, std::size_t maxEntries)
{
    using Due = std::pair<double, std::pair<const FlowId, Flow> *>;
    std::vector<Due> due;
    for (auto &item : flows_) {
        if (!isDue(item.second, now))
            continue;
        const Flow &flow = item.second;
        // The weight grows with the time since the last report, so that flows without new service
        // are also reported when maxEntries is small.
        const double ageSeconds = std::chrono::duration<double>(now - flow.lastReport).count();
        const double unreported = std::abs((flow.cumulative - flow.included).value);
        due.emplace_back((unreported + 1) * std::min(ageSeconds, 1e3), &item);
    }
    const auto count = static_cast<std::ptrdiff_t>(std::min(maxEntries, due.size()));
    std::partial_sort(due.begin(), due.begin() + count, due.end(),
                      [](const Due &left, const Due &right) { return left.first > right.first; });
    due.resize(static_cast<std::size_t>(count));

    std::vector<ServiceReportEntry> entries;
    entries.reserve(due.size());
    for (const auto &[weight, item] : due) {
        auto &[id, flow] = *item;
        entries.push_back({id, flow.share, flow.cumulative, flow.knownPosition, flow.included,
                           flow.backlogged});
        flow.reportedBacklogged = flow.backlogged;
        flow.lastReport = now;
    }
    return entries;
}

bool AccountLedger::recordVirtualTime(const ServiceId &service, const FairTotals &totals,
                                      TimePoint now)
{
    ServiceVirtualTime &times = services_[service];
    HomeVirtualTime &home = times.homes[totals.home];
    // A restarted home may report a lower virtual time, so only recent totals are compared.
    if (totals.virtualTime < home.virtualTime && now - home.lastReceived < reorderWindow)
        return false;
    home = {totals.virtualTime, now};
    std::erase_if(times.homes, [now](const auto &item) {
        return now - item.second.lastReceived >= homeTimeout;
    });
    Position lowest = totals.virtualTime;
    for (const auto &[id, time] : times.homes)
        lowest = std::min(lowest, time.virtualTime);
    times.virtualTime = std::max(times.virtualTime, lowest);
    return true;
}

void AccountLedger::applyTotals(const FairTotals &totals, TimePoint now)
{
    if (incarnation_ && totals.agentIncarnation != *incarnation_)
        return;
    const ServiceId *lastService = nullptr;
    bool isNewest = true;
    for (const FairTotalsEntry &entry : totals.entries) {
        if (!lastService || *lastService != entry.flow.service)
            isNewest = recordVirtualTime(entry.flow.service, totals, now);
        lastService = &entry.flow.service;
        const auto found = flows_.find(entry.flow);
        if (found == flows_.end())
            continue;
        Flow &flow = found->second;
        // Totals that include more of this agent's service are newer, even with a lower virtual
        // time.
        if (!isNewest && entry.included <= flow.included)
            continue;
        flow.knownPosition = entry.position;
        flow.included = entry.included;
        flow.isConfirmed = true;
        if (flow.backlogged)
            flow.lastBacklogged = now;
    }
}

Position AccountLedger::virtualTime() const
{
    std::optional<Position> lowest;
    for (const auto &[service, times] : services_)
        lowest = lowest ? std::min(*lowest, times.virtualTime) : times.virtualTime;
    return lowest.value_or(Position(0));
}

Position AccountLedger::virtualTime(const ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? Position(0) : found->second.virtualTime;
}

void AccountLedger::expire(TimePoint now)
{
    std::erase_if(flows_, [now](const auto &item) {
        const auto &flow = item.second;
        const TimePoint last = std::max(flow.lastActive, flow.lastReport);
        return !flow.backlogged && now - last >= flowExpiry;
    });
}

std::size_t AccountLedger::size() const
{
    return flows_.size();
}

} // namespace lovagecourse
