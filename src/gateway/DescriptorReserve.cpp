#include "gateway/DescriptorReserve.h"

#include <sys/resource.h>

#include <limits>

namespace lovagecourse {

namespace {

constexpr std::size_t hundred = 100;
// A request needs a descriptor for its caller and one for its server, but callers also keep idle
// connections.
constexpr std::size_t callerPercent = 70;
// Connections that are kept free for new callers.
constexpr std::size_t freePercent = 5;

} // namespace

std::size_t callerDescriptors(std::size_t maxDescriptors)
{
    return maxDescriptors / hundred * callerPercent
           + maxDescriptors % hundred * callerPercent / hundred;
}

std::size_t processDescriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur;
}

std::size_t idleConnectionsToClose(std::size_t openConnections, std::size_t maxConnections)
{
    const std::size_t mostOpen = maxConnections - maxConnections * freePercent / hundred;
    return openConnections > mostOpen ? openConnections - mostOpen : 0;
}

} // namespace lovagecourse
