#include "fairness/AccountLedger.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

/// A report is repeated after this time while the home has not confirmed it.
constexpr milliseconds repeatAfter{200};
/// Backlogged flows are reported at least this often: homes forget a backlog after 2 s.
constexpr milliseconds refreshAfter{900};
/// A flow without backlog for this long starts anew, as at the homes.
constexpr seconds idleAfter{2};
/// Flows without service, backlog and reports for this long are forgotten. A flow that returns
/// counts from 0, so the homes must have forgotten its old count: they do after 2 s.
constexpr seconds forgetAfter{600};
/// Totals with a lower virtual time than some heard this recently were overtaken on their way.
constexpr seconds reorderTime{1};
/// Homes that did not answer for this long have no part in the fleet's virtual time.
constexpr seconds homeTimeout{2};
/// Service that is too small to be reported; absorbs rounding.
constexpr double leastUnreported = 1e-6;

} // namespace

AccountLedger::Flow &AccountLedger::flowOf(const FlowId &id, Share share)
{
    Flow &flow = flows_[id];
    flow.share = share;
    return flow;
}

void AccountLedger::startAnew(const FlowId &id, Flow &flow) const
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

void AccountLedger::hold(const FlowId &id, Share share, Work change, TimePoint now)
{
    Flow &flow = flowOf(id, share);
    flow.held += change;
    flow.lastActive = now;
}

void AccountLedger::setBacklogged(const FlowId &id, Share share, bool backlogged, TimePoint now)
{
    Flow &flow = flowOf(id, share);
    const bool turnsBacklogged = backlogged && !flow.backlogged;
    const bool wasIdle = !flow.everBacklogged || now - flow.lastBacklogged >= idleAfter;
    if (turnsBacklogged && wasIdle)
        startAnew(id, flow);
    if (backlogged || flow.backlogged) {
        flow.lastBacklogged = now;
        flow.everBacklogged = true;
    }
    flow.backlogged = backlogged;
    flow.lastActive = now;
}

Position AccountLedger::positionOf(const FlowId &id, const Flow &flow) const
{
    // After a restart, flows whose home has not answered yet would be far behind the others.
    const Position base = flow.isConfirmed ? flow.knownPosition
                                           : std::max(flow.knownPosition, virtualTime(id.service));
    return base + (flow.cumulative + flow.held - flow.included) / flow.share;
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
    if (age < repeatAfter)
        return false;
    const double unreported = std::abs((flow.cumulative - flow.included).value);
    return unreported > leastUnreported || (flow.backlogged && age >= refreshAfter);
}

std::vector<ServiceReportEntry> AccountLedger::reportsDue(TimePoint now, std::size_t maxEntries)
{
    using Due = std::pair<double, std::pair<const FlowId, Flow> *>;
    std::vector<Due> due;
    for (auto &item : flows_) {
        if (!isDue(item.second, now))
            continue;
        const Flow &flow = item.second;
        // Flows that are due for their backlog alone gain weight with time, so that a small
        // budget reaches them too.
        const double waited = std::chrono::duration<double>(now - flow.lastReport).count();
        const double unreported = std::abs((flow.cumulative - flow.included).value);
        due.emplace_back((unreported + 1) * std::min(waited, 1e3), &item);
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

bool AccountLedger::hearVirtualTime(const ServiceId &service, const FairTotals &totals,
                                    TimePoint now)
{
    ServiceTime &times = services_[service];
    HomeTime &home = times.homes[totals.home];
    // A home that restarted may be behind, so only recent totals count.
    if (totals.virtualTime < home.virtualTime && now - home.lastHeard < reorderTime)
        return false;
    home = {totals.virtualTime, now};
    std::erase_if(times.homes,
                  [now](const auto &item) { return now - item.second.lastHeard >= homeTimeout; });
    Position lowest = totals.virtualTime;
    for (const auto &[id, time] : times.homes)
        lowest = std::min(lowest, time.virtualTime);
    times.virtualTime = std::max(times.virtualTime, lowest);
    return true;
}

void AccountLedger::applyTotals(const FairTotals &totals, TimePoint now)
{
    if (self_ && totals.agentIncarnation != *self_)
        return;
    const ServiceId *lastService = nullptr;
    bool isNewest = true;
    for (const FairTotalsEntry &entry : totals.entries) {
        if (!lastService || *lastService != entry.flow.service)
            isNewest = hearVirtualTime(entry.flow.service, totals, now);
        lastService = &entry.flow.service;
        const auto found = flows_.find(entry.flow);
        if (found == flows_.end())
            continue;
        Flow &flow = found->second;
        // Totals that include more of this agent's service are newer whatever their time.
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
        return !flow.backlogged && now - last >= forgetAfter;
    });
}

std::size_t AccountLedger::size() const
{
    return flows_.size();
}

} // namespace lovagecourse
