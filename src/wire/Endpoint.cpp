#include "wire/Endpoint.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>

namespace lovagecourse {

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Endpoint endpoint;
    endpoint.address = std::string(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, endpoint.address.c_str(), &parsed) != 1)
        return std::nullopt;
    const std::string_view port = text.substr(colon + 1);
    const auto result = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (result.ec != std::errc{} || result.ptr != port.data() + port.size() || endpoint.port == 0)
        return std::nullopt;
    return endpoint;
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

sockaddr_in toSocketAddress(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

Endpoint toEndpoint(const sockaddr_in &address)
{
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return Endpoint{text.data(), ntohs(address.sin_port)};
}

} // namespace lovagecourse
