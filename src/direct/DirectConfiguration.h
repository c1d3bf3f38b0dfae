#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// What may happen to a request after a server may have begun it.
enum class RequestKind : std::uint8_t {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by an event stream; runs at most once.
    Stream,
    /// Event stream that another server may continue after a whole event.
    ResumableStream
};

/// One of the services that share a route's requests.
struct ServiceShare
{
    ServiceId service;
    unsigned weight = 1;
};

/// Requests of one host name below one path.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    /// Longest time from arrival to the end of the answer.
    milliseconds timeout{0};
    /// Time to the answer, or to a stream's first event, that callers expect.
    milliseconds objective{0};
    /// Rank among routes; 0 is the most urgent.
    int priority = 0;
    /// Most servers that one request may be sent to.
    unsigned maxServers = 1;
    /// Needs no key.
    bool isPublic = false;
    std::vector<ServiceShare> services;
};

/// What is the same for all servers of a service.
struct ServiceInfo
{
    /// Connections that one server accepts from all daemons together.
    unsigned maxConnections = 0;
    /// Tokens of prompts that one engine keeps; 0 for services without engines.
    double cacheTokens = 0;
};

/// One version of routes, services, accounts and limits.
struct DirectConfiguration
{
    std::uint64_t version = 0;
    /// By host, longest path prefix first.
    std::unordered_map<std::string, std::vector<Route>> routes;
    std::unordered_map<ServiceId, ServiceInfo> services;
    /// Account of each key.
    std::unordered_map<std::string, AccountId> accounts;
    /// False when the platform names no accounts, so that no request needs a key.
    bool hasAccounts = false;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    /// Idle time after which a caller's connection may be closed; 0 when unknown.
    milliseconds idleTimeout{0};
    /// Tokens that all engines together read and generate in a second; 0 when unknown.
    double fleetTokensPerSecond = 0;
};

/// Route with the longest prefix of the path; null when none matches.
const Route *selectRoute(const DirectConfiguration &configuration, std::string_view host,
                         std::string_view path);
/// One of the route's services in proportion to the weights; the draw is in [0, 1).
const ServiceId &selectService(const Route &route, double draw);

} // namespace lovagecourse
