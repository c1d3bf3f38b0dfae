#pragma once

#include <compare>
#include <string>

namespace lovagecourse {

/// Addresses of a connection. The local port alone is not enough: connections to different servers
/// can have the same one.
struct ConnectionAddress
{
    std::string remoteIp;
    int remotePort = 0;
    int localPort = 0;

    auto operator<=>(const ConnectionAddress &) const = default;
};

} // namespace lovagecourse
