#include "direct/RouterNodeImpl.h"
#include "wire/ReportHash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

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

std::vector<RouterServiceDemand> toMessage(const std::vector<ServiceDemand> &demands)
{
    std::vector<RouterServiceDemand> message;
    for (const ServiceDemand &demand : demands) {
        if (message.size() < demandsPerReport)
            message.push_back(
                    RouterServiceDemand{demand.service, toPerKilosecond(demand.perSecond)});
    }
    return message;
}

std::vector<ServiceDemand> fromMessage(const std::vector<RouterServiceDemand> &message)
{
    std::vector<ServiceDemand> demands;
    demands.reserve(message.size());
    for (const RouterServiceDemand &demand : message)
        demands.push_back(ServiceDemand{demand.service, demand.perKilosecond / perKilosecond});
    return demands;
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

/// Updates this router's shares of the requests to warming servers. A router that leaves uses none,
/// because the others no longer count it.
void RouterNode::Impl::updateWarming(TimePoint now)
{
    updateWarmingView(now);
    const WarmingServers warming = pool.updateWarming(now);
    metrics.gauge("lovagecourse_servers_warming", static_cast<double>(warming.count));
    if (warming.begun > 0)
        metrics.count("lovagecourse_warming_begun_total", {}, static_cast<double>(warming.begun));
    if (warming.ended > 0)
        metrics.count("lovagecourse_warming_ended_total", {}, static_cast<double>(warming.ended));
}

void RouterNode::Impl::updateWarmingView(TimePoint now)
{
    // A gap in the updates would look like a suspension of this process.
    liveRouters.update(peers.memberSightings(), areRoutersKnown, now);
    // Before the first configuration, the view is kept so that routers heard since the start count.
    if (configuration && !pool.hasWarmingLimits())
        return;
    WarmingView view;
    view.self = reportHash(settings.name.value);
    view.isKnown = liveRouters.isKnown() && !terminatedAt;
    view.routers = peers.remoteRouters();
    view.routers[settings.dataCentre] = liveRouters.live();
    view.routers[settings.dataCentre].push_back(view.self);
    pool.setWarmingView(view, now);
}

/// Tells the limits that servers name, and what this router receives.
void RouterNode::Impl::sendLimits(const std::vector<Endpoint> &targets)
{
    RouterLimitReport report;
    report.demands = toMessage(pool.limitParts().ownDemands(clock.now()));
    sendLimitReport(std::move(report), targets);
}

/// Tells other data centres the limits, and what the routers of this one receive together.
void RouterNode::Impl::sendLimitsAsRelay(const std::vector<Endpoint> &targets)
{
    const TimePoint now = clock.now();
    RouterLimitReport report;
    report.demands = toMessage(pool.limitParts().dataCentreDemands(now));
    report.dataCentre = settings.dataCentre;
    report.routers =
            static_cast<std::uint16_t>(std::min<std::size_t>(peers.memberCount(now), UINT16_MAX));
    sendLimitReport(std::move(report), targets);
}

/// Sends the latest limits in one datagram, so that its cost does not grow with the servers; who
/// misses one hears it in an answer of the server. Sends nothing while no server names a limit.
void RouterNode::Impl::sendLimitReport(RouterLimitReport report,
                                       const std::vector<Endpoint> &targets)
{
    for (const HeardLimit &heard : pool.heardLimits(limitsPerReport, clock.now()))
        report.limits.push_back(ServerLimitNews{
                heard.server, heard.run, heard.perSecond ? toPerKilosecond(*heard.perSecond) : 0,
                ageMs(heard.heardAt)});
    if (!report.limits.empty())
        datagramSocket->sendToAll(targets, std::move(report));
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
    const std::vector<ServiceDemand> demands = fromMessage(report.demands);
    const bool isOwnDataCentre = report.dataCentre == settings.dataCentre;
    if (!report.dataCentre.value.empty() && !isOwnDataCentre)
        pool.limitParts().onDataCentreReport(report.dataCentre.value, report.routers, demands, now);
    else if (!isOwnDataCentre && !demands.empty() && !peers.isInOtherDataCentre(sender))
        pool.limitParts().onReport(sender.value, demands, now);
    if (!peers.isInOtherDataCentre(sender))
        return;
    // What a single router of another data centre receives concerns only that data centre.
    if (report.dataCentre.value.empty())
        report.demands.clear();
    datagramSocket->sendToAll(peers.activePeers(now), report);
}

} // namespace lovagecourse
