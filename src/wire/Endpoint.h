#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

struct sockaddr_in;

namespace lovagecourse {

/// IPv4 address and port; daemons know each other by number, not by name.
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

/// Parses "a.b.c.d:port"; empty when the text has another form.
std::optional<Endpoint> parseEndpoint(std::string_view text);
/// "a.b.c.d:port".
std::string toString(const Endpoint &endpoint);
/// Socket address of a valid endpoint.
sockaddr_in toSocketAddress(const Endpoint &endpoint);
/// Endpoint of a socket address.
Endpoint toEndpoint(const sockaddr_in &address);

} // namespace lovagecourse
