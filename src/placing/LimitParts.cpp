#include "placing/LimitParts.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Time constant of a router's demand: callers come and go within a second when the balancer
// moves them.
constexpr double averageSeconds = 1;
// Older reports no longer describe the demand; routers report several times in this time.
constexpr milliseconds reportLifetime{1500};
// Part of a limit that is divided evenly among the routers.
constexpr double evenShare = 0.2;
// Lower bound of a demand, so that the parts are defined while nobody receives requests.
constexpr double minDemand = 0.01;

} // namespace

double LimitParts::valueAt(const Rate &rate, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - rate.at).count();
    return rate.perSecond * std::exp(-std::max(0., age) / averageSeconds);
}

void LimitParts::onRequest(ServiceHash service, TimePoint now)
{
    Rate &rate = own_[service];
    rate.perSecond = valueAt(rate, now) + 1 / averageSeconds;
    rate.at = now;
}

void LimitParts::onReport(const std::string &router, const std::vector<ServiceDemand> &demands,
                          TimePoint now)
{
    reports_[router] = makeReport(demands, now);
}

void LimitParts::onDataCentreReport(const std::string &dataCentre, std::size_t routers,
                                    const std::vector<ServiceDemand> &demands, TimePoint now)
{
    Report &report = dataCentres_[dataCentre];
    report = makeReport(demands, now);
    report.routers = std::max<std::size_t>(routers, 1);
}

LimitParts::Report LimitParts::makeReport(const std::vector<ServiceDemand> &demands, TimePoint now)
{
    Report report;
    report.receivedAt = now;
    for (const ServiceDemand &demand : demands)
        report.demands[demand.service] = demand.perSecond;
    return report;
}

double LimitParts::ownDemand(ServiceHash service, TimePoint now) const
{
    const auto rate = own_.find(service);
    return std::max(minDemand, rate == own_.end() ? 0 : valueAt(rate->second, now));
}

LimitParts::Told LimitParts::add(const std::unordered_map<std::string, Report> &reports,
                                 ServiceHash service, TimePoint now)
{
    Told told;
    for (const auto &[sender, report] : reports) {
        if (now - report.receivedAt > reportLifetime)
            continue;
        const auto demand = report.demands.find(service);
        told.perSecond += std::max(minDemand, demand == report.demands.end() ? 0 : demand->second);
        told.routers += static_cast<double>(report.routers);
    }
    return told;
}

std::vector<ServiceDemand> LimitParts::ownDemands(TimePoint now) const
{
    std::vector<ServiceDemand> demands;
    demands.reserve(own_.size());
    for (const auto &[service, rate] : own_)
        demands.push_back(ServiceDemand{service, valueAt(rate, now)});
    return demands;
}

std::vector<ServiceDemand> LimitParts::dataCentreDemands(TimePoint now) const
{
    std::unordered_map<ServiceHash, double> sums;
    for (const ServiceDemand &demand : ownDemands(now))
        sums[demand.service] += demand.perSecond;
    for (const auto &[router, report] : reports_) {
        if (now - report.receivedAt > reportLifetime)
            continue;
        for (const auto &[service, perSecond] : report.demands)
            sums[service] += perSecond;
    }
    std::vector<ServiceDemand> demands;
    demands.reserve(sums.size());
    for (const auto &[service, perSecond] : sums)
        demands.push_back(ServiceDemand{service, perSecond});
    return demands;
}

double LimitParts::part(ServiceHash service, const RouterCounts &counts, TimePoint now) const
{
    const auto members = static_cast<double>(std::max<std::size_t>(counts.members, 1));
    const double fleet = std::max(static_cast<double>(counts.fleet), members);
    const double own = ownDemand(service, now);
    const Told peers = add(reports_, service, now);
    const double toldRouters = std::min(peers.routers + 1, members);
    const double toldDemand = peers.perSecond + own;
    const Told others = add(dataCentres_, service, now);
    // Even parts are counted in routers: 1 is what a router gets when all get the same.
    const double toldFleet = std::min(others.routers + members, fleet);
    const double dataCentreByDemand =
            toldFleet / members * toldDemand / (toldDemand + others.perSecond);
    const double routerByDemand = toldRouters * own / toldDemand;
    return (evenShare + (1 - evenShare) * dataCentreByDemand)
           * (evenShare + (1 - evenShare) * routerByDemand) / fleet;
}

} // namespace lovagecourse
