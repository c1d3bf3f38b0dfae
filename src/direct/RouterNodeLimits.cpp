#include "direct/RouterNodeImpl.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Fit into one datagram of 1,400 bytes together.
constexpr std::size_t limitsPerReport = 40;
constexpr std::size_t demandsPerReport = 32;
constexpr double perKilosecond = 1000;
// Assumed before the other routers' records were read.
constexpr std::size_t unknownRouters = 100;
// Routers that are registered count for so long although they have not been heard yet.
constexpr seconds startTime{10};

std::uint32_t toPerKilosecond(double perSecond)
{
    const double value = std::clamp<double>(perSecond * perKilosecond, 1, UINT32_MAX);
    return static_cast<std::uint32_t>(value);
}

} // namespace

/// Routers among which limits are divided. A router that has just started has heard few of them,
/// and assumes that all registered ones are there.
RouterCounts RouterNode::Impl::limitCounts() const
{
    const TimePoint now = clock.now();
    if (!areRoutersKnown)
        return RouterCounts{1, unknownRouters};
    RouterCounts counts{peers.memberCount(now), peers.liveCount(now)};
    if (now - startedAt < startTime) {
        counts.members = std::max(counts.members, peers.knownPeers().size() + 1);
        counts.fleet = std::max(counts.fleet, peers.knownCount());
    }
    return counts;
}

/// Tells the limits that servers name, and what this router receives.
void RouterNode::Impl::sendLimits(const std::vector<Endpoint> &targets)
{
    const TimePoint now = clock.now();
    const std::vector<HeardLimit> heard = pool.heardLimits(now);
    for (std::size_t first = 0; first < heard.size(); first += limitsPerReport) {
        RouterLimitReport report;
        const std::size_t end = std::min(first + limitsPerReport, heard.size());
        for (std::size_t i = first; i < end; ++i)
            report.limits.push_back(
                    ServerLimitNews{heard[i].server, heard[i].run,
                                    heard[i].perSecond ? toPerKilosecond(*heard[i].perSecond) : 0,
                                    ageMs(heard[i].heardAt)});
        for (const ServiceDemand &demand : pool.limitParts().ownDemands(now)) {
            if (report.demands.size() < demandsPerReport)
                report.demands.push_back(
                        RouterServiceDemand{demand.service, toPerKilosecond(demand.perSecond)});
        }
        datagramSocket->sendToAll(targets, std::move(report));
    }
}

void RouterNode::Impl::onMessage(const DaemonId &sender, RouterLimitReport &&report)
{
    const TimePoint now = clock.now();
    for (ServerLimitNews &news : report.limits) {
        HeardLimit heard{news.serverRun, news.server, std::nullopt, timeOf(news.ageMs)};
        if (news.perKilosecond > 0)
            heard.perSecond = news.perKilosecond / perKilosecond;
        news.ageMs = ageMs(heard.heardAt);
        pool.onLimitReported(heard, now);
    }
    if (peers.isInOtherDataCentre(sender)) {
        report.demands.clear();
        datagramSocket->sendToAll(peers.activePeers(now), report);
        return;
    }
    if (report.demands.empty())
        return;
    std::vector<ServiceDemand> demands;
    for (const RouterServiceDemand &demand : report.demands)
        demands.push_back(ServiceDemand{demand.service, demand.perKilosecond / perKilosecond});
    pool.limitParts().onReport(sender.value, demands, now);
}

} // namespace lovagecourse
