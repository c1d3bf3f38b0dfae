#pragma once

#include "checking/ConfigurationField.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagecourse {

/// What can be wrong with a configuration that routers accept.
enum class FindingKind : std::uint8_t {
    /// An earlier route with the same host and path prefix takes all requests.
    RouteShadowed,
    /// No request has such a host or path.
    RouteUnreachable,
    /// The route needs an API key, but no account has one.
    RouteWithoutKeys,
    ServiceUnknown,
    ServiceWithoutRoute,
    /// One of the services of a route gets no requests.
    ShareWithoutRequests,
    AccountWithoutKeys,
    /// A later account has the same key, so it never stands for this account.
    KeyOfTwoAccounts,
    /// The key's account has no name, like the account of requests without a key.
    KeyWithoutAccount,
    /// Requests without a key count as requests of the account.
    KeyEmpty,
    /// HTTP does not transfer the key unchanged.
    KeyUnusable,
    DuplicateRoute,
    DuplicateService,
    DuplicateAccount,
    RetriesWithoutBudget,
    TimeoutZero,
    TimeoutBelowObjective,
    BodyLimitBelowHeaderLimit,
    HedgeShareAboveRetryRatio,
    WarmingTimeWithoutRate,
    WarmingRateWithoutTime,
    /// Routers ignore a configuration whose version is not above that in force.
    VersionNotHigher
};

/// Possible mistake in a configuration that routers accept.
struct Finding
{
    FindingKind kind = FindingKind::RouteShadowed;
    /// Empty if the finding concerns a setting.
    std::optional<FieldPlace> place;
    /// Name of the route, service or account; for keys, the account's.
    std::string subject;
    /// Name of the entry, or the value, that it contradicts.
    std::string other;
};

/// Name of the kind for programs, such as "route-shadowed".
std::string_view toName(FindingKind kind);
/// Describes the finding in a sentence without its place.
std::string describe(const Finding &finding);

} // namespace lovagecourse
