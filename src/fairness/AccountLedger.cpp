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
/// counts from 0, so the homes must have forgotten its old count: they do after 300 s.
constexpr seconds forgetAfter{600};
/// Totals with a lower virtual time than some heard this recently were overtaken on their way.
constexpr seconds reorderTime{1};
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
    const Position current = positionOf(flow);
    const Position start = std::max(current, virtualTime(id.service));
    flow.knownPosition += start - current;
}

void AccountLedger::charge(const FlowId &id, Share share, Work work, TimePoint now)
{
    Flow &flow = flowOf(id, share);
    flow.cumulative += work;
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

Position AccountLedger::positionOf(const Flow &flow)
{
    return flow.knownPosition + (flow.cumulative - flow.included) / flow.share;
}

Position AccountLedger::position(const FlowId &id, Share share) const
{
    const auto found = flows_.find(id);
    if (found == flows_.end())
        return virtualTime(id.service);
    Flow flow = found->second;
    flow.share = share;
    return positionOf(flow);
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

bool AccountLedger::isOvertaken(const Flow &flow, const FairTotals &totals,
                                const FairTotalsEntry &entry, TimePoint now)
{
    // A new home may be behind in virtual time, so only recent totals count, and totals that
    // include more of this agent's service are taken.
    return totals.virtualTime < flow.totalsTime && entry.included <= flow.included
           && now - flow.lastTotals < reorderTime;
}

void AccountLedger::applyTotals(const FairTotals &totals, TimePoint now)
{
    if (self_ && totals.agentIncarnation != *self_)
        return;
    for (const FairTotalsEntry &entry : totals.entries) {
        Position &heard = virtualTimes_[entry.flow.service];
        heard = std::max(heard, totals.virtualTime);
        const auto found = flows_.find(entry.flow);
        if (found == flows_.end())
            continue;
        Flow &flow = found->second;
        if (isOvertaken(flow, totals, entry, now))
            continue;
        flow.totalsTime = totals.virtualTime;
        flow.lastTotals = now;
        flow.knownPosition = entry.position;
        flow.included = entry.included;
        if (flow.backlogged)
            flow.lastBacklogged = now;
    }
}

Position AccountLedger::virtualTime() const
{
    std::optional<Position> lowest;
    for (const auto &[service, time] : virtualTimes_)
        lowest = lowest ? std::min(*lowest, time) : time;
    return lowest.value_or(Position(0));
}

Position AccountLedger::virtualTime(const ServiceId &service) const
{
    const auto found = virtualTimes_.find(service);
    return found == virtualTimes_.end() ? Position(0) : found->second;
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
