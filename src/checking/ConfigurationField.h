#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace lovagecourse {

/// Fields of a configuration that are checked or compared. The platform knows their names.
enum class ConfigurationField : std::uint8_t {
    Version,
    RouteName,
    RouteHost,
    RoutePathPrefix,
    RouteKind,
    RouteTimeout,
    RouteObjective,
    RoutePriority,
    RouteMaxServers,
    RouteIsPublic,
    /// The service or, with an element number, one of the weighted services.
    RouteService,
    ServiceName,
    ServiceMaxConnections,
    ServiceCacheTokens,
    ServiceWarmingTime,
    ServiceWarmingRate,
    /// The list of accounts itself; without it, requests need no keys.
    Accounts,
    AccountName,
    AccountPriority,
    AccountKeys,
    MaxHeaderBytes,
    MaxBodyBytes,
    IdleTimeout,
    FleetTokensPerSecond
};

/// Place of a field in a configuration's document.
struct FieldPlace
{
    ConfigurationField field = ConfigurationField::Version;
    /// Number of the route, service or account, from 0; 0 for other fields.
    std::size_t entry = 0;
    /// Number of the element, for a field that is a list.
    std::optional<std::size_t> element;

    bool operator==(const FieldPlace &) const = default;
};

} // namespace lovagecourse
