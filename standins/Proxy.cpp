#include "Proxy.h"

#include "TcpMapping.h"
#include "UdpMapping.h"
#include "wire/Endpoint.h"

#include <iostream>

namespace lovagecourse {

using nlohmann::json;

Proxy::Proxy(EventLoop &loop, const sockaddr_in &control, std::uint64_t seed)
    : loop_(loop)
    , server_(loop, control, [this](const HttpExchangePtr &exchange) { handle(exchange); })
    , seed_(seed)
{}

bool Proxy::addMapping(const std::string &specification)
{
    constexpr std::size_t prefixLength = 4;
    const std::string protocol = specification.substr(0, prefixLength);
    const std::size_t equals = specification.find('=');
    if ((protocol != "tcp:" && protocol != "udp:") || equals == std::string::npos)
        return false;
    const std::string name = specification.substr(prefixLength, equals - prefixLength);
    const auto listen = parseEndpoint(name);
    const auto target = parseEndpoint(specification.substr(equals + 1));
    if (!listen || !target)
        return false;
    // Each mapping has its own random sequence, so that traffic on one does not affect the faults
    // of another.
    const std::uint64_t seed = seed_ + mappings_.size();
    const sockaddr_in from = toSocketAddress(*listen);
    const sockaddr_in to = toSocketAddress(*target);
    if (protocol == "tcp:")
        mappings_.emplace(name, std::make_unique<TcpMapping>(loop_, from, to, seed));
    else
        mappings_.emplace(name, std::make_unique<UdpMapping>(loop_, from, to, seed));
    return true;
}

bool Proxy::start()
{
    for (const auto &[name, mapping] : mappings_) {
        if (!mapping->start()) {
            std::cerr << "proxy cannot bind " << name << "\n";
            return false;
        }
    }
    return server_.start();
}

void Proxy::handle(const HttpExchangePtr &exchange)
{
    if (exchange->method() != "POST" || exchange->path() != "/rules") {
        exchange->respond(404, R"({"error":{"message":"unknown path"}})");
        return;
    }
    const json body = json::parse(exchange->body(), nullptr, false);
    if (!body.is_object() || !body.contains("map") || !body["map"].is_string()) {
        exchange->respond(400, R"({"error":{"message":"expected a JSON object with a map"}})");
        return;
    }
    const auto wanted = body["map"].get<std::string>();
    const FaultRules rules = readFaultRules(body);
    std::size_t matches = 0;
    for (const auto &[name, mapping] : mappings_) {
        if (wanted != "*" && wanted != name)
            continue;
        mapping->apply(rules);
        ++matches;
    }
    exchange->respond(matches > 0 ? 200 : 404, json{{"maps", matches}}.dump());
}

} // namespace lovagecourse
