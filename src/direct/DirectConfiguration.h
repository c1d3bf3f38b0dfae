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

/// How a request may be retried once a server may have started it.
enum class RequestKind : std::uint8_t {
    /// May be retried; running it more than once is harmless.
    Safe,
    /// Must not run more than once.
    Unsafe,
    /// Answered by an event stream; must not run more than once.
    Stream,
    /// Event stream that another server may resume after any complete event.
    ResumableStream
};

/// Returns whether the answer is an event stream.
bool isStreamKind(RequestKind kind);

/// Service that gets a weighted part of a route's requests.
struct ServiceShare
{
    ServiceId service;
    unsigned weight = 1;
};

/// Rules for the requests with one host name and path prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    /// Time limit from the request's arrival to the end of the answer.
    milliseconds timeout{0};
    /// Latency objective: time to the answer, or to the first event of a stream.
    milliseconds objective{0};
    /// 0 is the highest priority.
    int priority = 0;
    /// Maximum number of servers that one request may be sent to.
    unsigned maxServers = 1;
    /// Requests need no API key.
    bool isPublic = false;
    std::vector<ServiceShare> services;
};

/// Properties that all servers of a service share.
struct ServiceInfo
{
    /// Connections that one server accepts from all routers together.
    unsigned maxConnections = 0;
    /// Capacity of one engine's prompt cache in tokens; 0 for services without engines.
    double cacheTokens = 0;
    /// How long a server warms up after its start; 0 when unknown.
    milliseconds warmingTime{0};
    /// Requests a second that a warming server takes from all routers together; 0 when unknown.
    double warmingRate = 0;
};

/// One version of the fleet's configuration: routes, services, accounts and limits.
struct DirectConfiguration
{
    std::uint64_t version = 0;
    /// Routes by host name, longest path prefix first.
    std::unordered_map<std::string, std::vector<Route>> routes;
    std::unordered_map<ServiceId, ServiceInfo> services;
    /// Accounts by API key.
    std::unordered_map<std::string, AccountId> accounts;
    /// Priorities of accounts; 0 is the most urgent.
    std::unordered_map<AccountId, int> accountPriorities;
    int leastUrgentPriority = 0;
    /// False when the platform defines no accounts; then no request needs a key.
    bool hasAccounts = false;
    std::size_t maxHeaderBytes = 0;
    std::size_t maxBodyBytes = 0;
    /// Time after which an idle caller connection may be closed; 0 when unknown.
    milliseconds idleTimeout{0};
    /// Tokens that all engines together process per second; 0 when unknown.
    double fleetTokensPerSecond = 0;
};

/// Returns the host's route with the longest matching path prefix; null when none matches.
const Route *selectRoute(const DirectConfiguration &configuration, std::string_view host,
                         std::string_view path);
/// Returns the account's priority; that of the least urgent account for a request without one.
int accountPriority(const DirectConfiguration &configuration, const AccountId &account);
/// Selects one of the route's services in proportion to the weights; draw is in [0, 1).
const ServiceId &selectService(const Route &route, double draw);

} // namespace lovagecourse
