#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct sockaddr_in;

namespace lovagecourse {

/// IPv4 address in dotted notation and port. Host names are not supported.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(address, port);
    }
};

/// Parses "a.b.c.d:port"; nullopt if the text is malformed or the port is 0.
std::optional<Endpoint> parseEndpoint(std::string_view text);
/// Formats as "a.b.c.d:port".
std::string toString(const Endpoint &endpoint);
/// Converts an endpoint with a valid address to a socket address.
sockaddr_in toSocketAddress(const Endpoint &endpoint);
/// Converts a socket address to an endpoint.
Endpoint toEndpoint(const sockaddr_in &address);

} // namespace lovagecourse
