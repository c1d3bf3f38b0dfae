#include "fairness/FairnessHome.h"

#include <algorithm>
#include <optional>

namespace lovagecourse {

namespace {

/// A flow without backlog for this long starts anew.
constexpr seconds idleAfter{2};
/// A backlog that is not confirmed for this long has ended; agents confirm it every 900 ms.
constexpr seconds backlogTimeout{2};
/// Capacity of an agent that reports nothing for this long is not counted.
constexpr seconds capacityTimeout{10};
/// A flow that no agent reported here for this long may have had another home meanwhile. What the
/// agents say is included then counts, not what this home remembers.
constexpr seconds flowTimeout{2};
/// Contributions are kept for this long, so that late reports of an earlier run are recognised.
constexpr seconds contributionForgetAfter{30};
/// Flows are forgotten after this time; agents that use them later report the known position.
constexpr seconds forgetAfter{300};
/// A report with a lower virtual time than one heard this recently was overtaken on its way.
constexpr seconds reorderTime{1};
/// Virtual time is computed at most this often, since it visits all flows of a service.
constexpr milliseconds advanceInterval{50};
/// Part of a second of fleet capacity that a flow may keep as credit over a pause under 2 s.
/// Without a bound, an account that pauses often would save up credit that starves others.
constexpr double pauseCredit = 0.5;

} // namespace

FairnessHome::FairnessHome(DaemonId self)
    : self_(std::move(self))
{}

bool FairnessHome::isBacklogged(const Flow &flow, TimePoint now)
{
    return std::any_of(flow.agents.begin(), flow.agents.end(), [now](const auto &item) {
        const Contribution &agent = item.second;
        return agent.backlogged && now - agent.lastHeard < backlogTimeout;
    });
}

FairnessHome::ServiceState *FairnessHome::hear(const ServiceReport &report,
                                               const ServiceId &service, TimePoint now)
{
    ServiceState &state = services_[service];
    AgentCapacity &capacity = state.capacities[report.agent];
    const bool isOlder = report.incarnation < capacity.incarnation
                         || (report.incarnation == capacity.incarnation
                             && report.virtualTime < capacity.virtualTime
                             && now - capacity.lastHeard < reorderTime);
    if (isOlder)
        return nullptr;
    state.capacity += report.capacityPerSecond - capacity.perSecond;
    capacity = {report.capacityPerSecond, now, report.incarnation, report.virtualTime};
    state.heardVirtualTime = std::max(state.heardVirtualTime, report.virtualTime);
    return &state;
}

FairnessHome::Contribution *FairnessHome::contact(Flow &flow, const ServiceReport &report,
                                                  const ServiceReportEntry &entry)
{
    const auto [found, isNew] = flow.agents.try_emplace(report.agent);
    Contribution &agent = found->second;
    const bool isOldRun = !isNew && report.incarnation < agent.incarnation;
    if (isOldRun)
        return nullptr;
    const bool isFirstContact =
            isNew || report.incarnation != agent.incarnation || agent.lastHeard < flow.heardSince;
    if (isFirstContact) {
        flow.position = std::max(flow.position, entry.knownPosition);
        agent.incarnation = report.incarnation;
        agent.included = entry.included;
    }
    return &agent;
}

void FairnessHome::clampStart(Flow &flow, const ServiceState &service, TimePoint now)
{
    const bool isIdle = !flow.everBacklogged || now - flow.lastBacklogged >= idleAfter;
    const Position oneSecond = service.capacity / flow.share;
    const Position lowest = service.heardVirtualTime;
    if (isIdle) {
        flow.position = std::clamp(flow.position, lowest, lowest + oneSecond);
        return;
    }
    const Position credit(oneSecond.value * pauseCredit);
    flow.position = std::max(flow.position, lowest - credit);
}

FairTotals FairnessHome::apply(const ServiceReport &report, TimePoint now)
{
    FairTotals totals;
    totals.home = self_;
    totals.agentIncarnation = report.incarnation;
    std::optional<Position> lowestTime;
    const ServiceId *lastService = nullptr;
    ServiceState *state = nullptr;
    totals.entries.reserve(report.entries.size());
    for (const ServiceReportEntry &entry : report.entries) {
        if (!lastService || *lastService != entry.flow.service)
            state = hear(report, entry.flow.service, now);
        lastService = &entry.flow.service;
        if (!state || !(entry.share.value > 0))
            continue;

        const auto [found, isNew] = flows_.try_emplace(entry.flow);
        Flow &flow = found->second;
        const bool isKnownElsewhere = isNew && entry.knownPosition > Position(0);
        const bool wasBacklogged = isBacklogged(flow, now);
        if (now - flow.lastHeard >= flowTimeout)
            flow.heardSince = now;
        Contribution *agent = contact(flow, report, entry);
        if (!agent)
            continue;
        flow.lastHeard = now;
        flow.share = entry.share;
        // A flow that this home takes over was clamped when it turned backlogged. The clamp comes
        // before the new service: corrections of that service would else take it below the bound.
        if (entry.backlogged && !wasBacklogged && !isKnownElsewhere)
            clampStart(flow, *state, now);
        flow.position += (entry.cumulative - agent->included) / entry.share;
        *agent = {report.incarnation, entry.cumulative, now, entry.backlogged};
        if (entry.backlogged || wasBacklogged) {
            flow.lastBacklogged = now;
            flow.everBacklogged = true;
        }
        totals.entries.push_back({entry.flow, flow.position, entry.cumulative});
        advanceVirtualTime(entry.flow.service, *state, now);
        lowestTime = lowestTime ? std::min(*lowestTime, state->virtualTime) : state->virtualTime;
    }
    totals.virtualTime = lowestTime.value_or(Position(0));
    return totals;
}

void FairnessHome::advanceVirtualTime(const ServiceId &id, ServiceState &service, TimePoint now)
{
    if (now - service.advancedAt < advanceInterval)
        return;
    service.advancedAt = now;
    std::optional<Position> lowest;
    for (const auto &[flowId, flow] : flows_) {
        if (flowId.service != id || !isBacklogged(flow, now))
            continue;
        lowest = lowest ? std::min(*lowest, flow.position) : flow.position;
    }
    service.virtualTime = std::max(service.virtualTime, lowest.value_or(service.heardVirtualTime));
}

void FairnessHome::expire(TimePoint now)
{
    for (auto &[id, flow] : flows_) {
        std::erase_if(flow.agents, [now](const auto &item) {
            return now - item.second.lastHeard >= contributionForgetAfter;
        });
    }
    std::erase_if(flows_,
                  [now](const auto &item) { return now - item.second.lastHeard >= forgetAfter; });
    for (auto &[id, service] : services_) {
        std::erase_if(service.capacities, [now](const auto &item) {
            return now - item.second.lastHeard >= capacityTimeout;
        });
        service.capacity = Work(0);
        for (const auto &[agent, capacity] : service.capacities)
            service.capacity += capacity.perSecond;
    }
}

Position FairnessHome::virtualTime(const ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? Position(0) : found->second.virtualTime;
}

Position FairnessHome::virtualTime() const
{
    std::optional<Position> lowest;
    for (const auto &[id, service] : services_)
        lowest = lowest ? std::min(*lowest, service.virtualTime) : service.virtualTime;
    return lowest.value_or(Position(0));
}

std::size_t FairnessHome::size() const
{
    return flows_.size();
}

} // namespace lovagecourse
