#include "fairness/FairnessHome.h"

#include <algorithm>
#include <optional>

namespace lovagecourse {

namespace {

/// A flow without backlog for this long is idle; its next backlog starts at virtual time or later.
constexpr seconds idleTimeout{2};
/// A backlog that is not reported for this long has ended; agents report it at least every 900 ms.
constexpr seconds backlogTimeout{2};
/// An agent without reports for this long is removed from the capacity of the service.
constexpr seconds capacityTimeout{10};
/// A flow that no agent reported here for this long may have had another home in between, so the
/// included service in the reports replaces the stored contributions.
constexpr seconds homeChangeTimeout{2};
/// Contributions are kept for this long to detect late reports of an earlier incarnation.
constexpr seconds contributionExpiry{30};
/// Flows without reports for this long are removed; later reports restore their position from
/// knownPosition.
constexpr seconds flowExpiry{300};
/// A report with a lower virtual time than another from the same agent within this time is
/// reordered.
constexpr seconds reorderWindow{1};
/// Virtual time is computed at most this often per service, since it iterates over all flows.
constexpr milliseconds virtualTimeInterval{50};
/// Credit, in seconds of fleet capacity, that a flow keeps over a pause shorter than idleTimeout.
/// Without a bound, an account that pauses often would accumulate credit and starve others.
constexpr double maxPauseCreditSeconds = 0.5;

} // namespace

FairnessHome::FairnessHome(DaemonId self)
    : self_(std::move(self))
{}

bool FairnessHome::isBacklogged(const Flow &flow, TimePoint now)
{
    return std::any_of(flow.agents.begin(), flow.agents.end(), [now](const auto &item) {
        const Contribution &agent = item.second;
        return agent.backlogged && now - agent.lastReceived < backlogTimeout;
    });
}

FairnessHome::ServiceState *FairnessHome::recordReport(const ServiceReport &report,
                                                       const ServiceId &service, TimePoint now)
{
    ServiceState &state = services_[service];
    AgentCapacity &capacity = state.capacities[report.agent];
    const bool isOlder = report.incarnation < capacity.incarnation
                         || (report.incarnation == capacity.incarnation
                             && report.virtualTime < capacity.virtualTime
                             && now - capacity.lastReceived < reorderWindow);
    if (isOlder)
        return nullptr;
    state.capacity += report.capacityPerSecond - capacity.perSecond;
    capacity = {report.capacityPerSecond, now, report.incarnation, report.virtualTime};
    state.fleetVirtualTime = std::max(state.fleetVirtualTime, report.virtualTime);
    return &state;
}

FairnessHome::Contribution *FairnessHome::contributionOf(Flow &flow, const ServiceReport &report,
                                                         const ServiceReportEntry &entry)
{
    const auto [found, isNew] = flow.agents.try_emplace(report.agent);
    Contribution &agent = found->second;
    const bool isOldIncarnation = !isNew && report.incarnation < agent.incarnation;
    if (isOldIncarnation)
        return nullptr;
    const bool isFirstReport = isNew || report.incarnation != agent.incarnation
                               || agent.lastReceived < flow.reportedSince;
    if (isFirstReport) {
        flow.position = std::max(flow.position, entry.knownPosition);
        agent.incarnation = report.incarnation;
        agent.included = entry.included;
    }
    return &agent;
}

void FairnessHome::clampStart(Flow &flow, const ServiceState &service, TimePoint now)
{
    const bool isIdle = !flow.everBacklogged || now - flow.lastBacklogged >= idleTimeout;
    const Position oneSecond = service.capacity / flow.share;
    const Position lowest = service.fleetVirtualTime;
    if (isIdle) {
        flow.position = std::clamp(flow.position, lowest, lowest + oneSecond);
        return;
    }
    const Position credit(oneSecond.value * maxPauseCreditSeconds);
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
            state = recordReport(report, entry.flow.service, now);
        lastService = &entry.flow.service;
        if (!state || !(entry.share.value > 0))
            continue;

        const auto [found, isNew] = flows_.try_emplace(entry.flow);
        Flow &flow = found->second;
        const bool isTakenOver = isNew && entry.knownPosition > Position(0);
        const bool wasBacklogged = isBacklogged(flow, now);
        if (now - flow.lastReceived >= homeChangeTimeout)
            flow.reportedSince = now;
        Contribution *agent = contributionOf(flow, report, entry);
        if (!agent)
            continue;
        flow.lastReceived = now;
        flow.share = entry.share;
        // Flows taken over were clamped by their former home. The clamp precedes the new
        // service; otherwise later corrections of that service could lower the position below
        // the bound.
        if (entry.backlogged && !wasBacklogged && !isTakenOver)
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
    if (now - service.advancedAt < virtualTimeInterval)
        return;
    service.advancedAt = now;
    std::optional<Position> lowest;
    for (const auto &[flowId, flow] : flows_) {
        if (flowId.service != id || !isBacklogged(flow, now))
            continue;
        lowest = lowest ? std::min(*lowest, flow.position) : flow.position;
    }
    service.virtualTime = std::max(service.virtualTime, lowest.value_or(service.fleetVirtualTime));
}

void FairnessHome::expire(TimePoint now)
{
    for (auto &[id, flow] : flows_) {
        std::erase_if(flow.agents, [now](const auto &item) {
            return now - item.second.lastReceived >= contributionExpiry;
        });
    }
    std::erase_if(flows_,
                  [now](const auto &item) { return now - item.second.lastReceived >= flowExpiry; });
    for (auto &[id, service] : services_) {
        std::erase_if(service.capacities, [now](const auto &item) {
            return now - item.second.lastReceived >= capacityTimeout;
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
