#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Hash of a service's name in reports between routers.
using ServiceHash = std::uint32_t;

/// Requests a second that a router receives for a service.
struct ServiceDemand
{
    ServiceHash service = 0;
    double perSecond = 0;
};

/// Number of routers among which a limit is divided.
struct RouterCounts
{
    /// Routers of this data centre, with this one.
    std::size_t members = 1;
    /// Routers of the fleet, with this one.
    std::size_t fleet = 1;
};

/// Divides what servers take from all routers together among them, in two steps: among the data
/// centres, and among the routers of this one. In each step most of it follows the requests that
/// are received, as the others have told, so that little is left unused, and the rest is divided
/// evenly, so that a router whose callers have just come can send at once. Who has not told is
/// assumed to use an even part, and a router that hears nobody uses no more itself: the parts of
/// all routers together stay near the whole when reports are lost, late or cut off.
class LimitParts
{
public:
    /// A caller's request for the service has arrived at this router.
    void onRequest(ServiceHash service, TimePoint now);
    /// Another router of this data centre has told what it receives.
    void onReport(const std::string &router, const std::vector<ServiceDemand> &demands,
                  TimePoint now);
    /// The sum of another data centre with this number of routers has arrived.
    void onDataCentreReport(const std::string &dataCentre, std::size_t routers,
                            const std::vector<ServiceDemand> &demands, TimePoint now);
    void onRouterLeft(const std::string &router) { reports_.erase(router); }
    /// What this router receives, for its report.
    std::vector<ServiceDemand> ownDemands(TimePoint now) const;
    /// What the routers of this data centre receive together, as far as they have told.
    std::vector<ServiceDemand> dataCentreDemands(TimePoint now) const;
    /// Part of the limits of the service's servers that this router may use, from 0 to 1.
    double part(ServiceHash service, const RouterCounts &counts, TimePoint now) const;

private:
    /// Moving average of arrivals.
    struct Rate
    {
        double perSecond = 0;
        TimePoint at;
    };

    struct Report
    {
        std::unordered_map<ServiceHash, double> demands;
        TimePoint receivedAt;
        /// Of a data centre.
        std::size_t routers = 1;
    };

    /// Routers that have told what they receive for a service, and its sum.
    struct Told
    {
        double routers = 0;
        double perSecond = 0;
    };

    static double valueAt(const Rate &rate, TimePoint now);
    static Report makeReport(const std::vector<ServiceDemand> &demands, TimePoint now);
    static Told add(const std::unordered_map<std::string, Report> &reports, ServiceHash service,
                    TimePoint now);
    double ownDemand(ServiceHash service, TimePoint now) const;

    std::unordered_map<ServiceHash, Rate> own_;
    /// By router of this data centre.
    std::unordered_map<std::string, Report> reports_;
    /// By other data centre.
    std::unordered_map<std::string, Report> dataCentres_;
};

} // namespace lovagecourse
