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

/// Divides what servers take from all routers together among them. Each data centre gets a part by
/// the number of its routers. Within one, routers tell each other the requests that they receive
/// for each service; most of the part follows these, so that little of it is left unused, and the
/// rest is divided evenly, so that a router whose callers have just come can send at once. A router
/// that has not told is assumed to use an even part, and one that hears nobody uses no more itself:
/// the parts of all routers together stay at the whole when reports are lost, late or cut off.
class LimitParts
{
public:
    /// A caller's request for the service has arrived at this router.
    void onRequest(ServiceHash service, TimePoint now);
    /// Another router of this data centre has told what it receives.
    void onReport(const std::string &router, const std::vector<ServiceDemand> &demands,
                  TimePoint now);
    void onRouterLeft(const std::string &router) { reports_.erase(router); }
    /// What this router receives, for its report.
    std::vector<ServiceDemand> ownDemands(TimePoint now) const;
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
    };

    static double valueAt(const Rate &rate, TimePoint now);

    std::unordered_map<ServiceHash, Rate> own_;
    std::unordered_map<std::string, Report> reports_;
};

} // namespace lovagecourse
