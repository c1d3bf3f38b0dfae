#include "direct/DirectConfiguration.h"

#include <cassert>

namespace lovagecourse {

bool isStreamKind(RequestKind kind)
{
    return kind == RequestKind::Stream || kind == RequestKind::ResumableStream;
}

const Route *selectRoute(const DirectConfiguration &configuration, std::string_view host,
                         std::string_view path)
{
    const auto found = configuration.routes.find(std::string(host));
    if (found == configuration.routes.end())
        return nullptr;
    for (const Route &route : found->second) {
        if (path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

int accountPriority(const DirectConfiguration &configuration, const AccountId &account)
{
    const auto found = configuration.accountPriorities.find(account);
    return found == configuration.accountPriorities.end() ? configuration.leastUrgentPriority
                                                          : found->second;
}

const ServiceId &selectService(const Route &route, double draw)
{
    assert(!route.services.empty());
    double total = 0;
    for (const ServiceShare &share : route.services)
        total += share.weight;
    double left = draw * total;
    for (const ServiceShare &share : route.services) {
        if (left < share.weight)
            return share.service;
        left -= share.weight;
    }
    return route.services.back().service;
}

} // namespace lovagecourse
