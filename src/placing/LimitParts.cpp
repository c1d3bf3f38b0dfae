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
    Report &report = reports_[router];
    report.receivedAt = now;
    report.demands.clear();
    for (const ServiceDemand &demand : demands)
        report.demands[demand.service] = demand.perSecond;
}

std::vector<ServiceDemand> LimitParts::ownDemands(TimePoint now) const
{
    std::vector<ServiceDemand> demands;
    for (const auto &[service, rate] : own_)
        demands.push_back(ServiceDemand{service, valueAt(rate, now)});
    return demands;
}

double LimitParts::part(ServiceHash service, const RouterCounts &counts, TimePoint now) const
{
    const auto members = static_cast<double>(std::max<std::size_t>(counts.members, 1));
    const double fleet = std::max(static_cast<double>(counts.fleet), members);
    const auto ownRate = own_.find(service);
    const double own =
            std::max(minDemand, ownRate == own_.end() ? 0 : valueAt(ownRate->second, now));
    double told = own;
    double toldCount = 1;
    for (const auto &[router, report] : reports_) {
        if (now - report.receivedAt > reportLifetime || toldCount >= members)
            continue;
        const auto demand = report.demands.find(service);
        told += std::max(minDemand, demand == report.demands.end() ? 0 : demand->second);
        ++toldCount;
    }
    const double byDemand = toldCount * own / told;
    return (evenShare + (1 - evenShare) * byDemand) / fleet;
}

} // namespace lovagecourse
