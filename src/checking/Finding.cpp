#include "checking/Finding.h"

namespace lovagecourse {

std::string_view toName(FindingKind kind)
{
    switch (kind) {
    case FindingKind::RouteShadowed:
        return "route-shadowed";
    case FindingKind::RouteUnreachable:
        return "route-unreachable";
    case FindingKind::RouteWithoutKeys:
        return "route-without-keys";
    case FindingKind::ServiceUnknown:
        return "service-unknown";
    case FindingKind::ServiceWithoutRoute:
        return "service-without-route";
    case FindingKind::ShareWithoutRequests:
        return "share-without-requests";
    case FindingKind::AccountWithoutKeys:
        return "account-without-keys";
    case FindingKind::KeyOfTwoAccounts:
        return "key-of-two-accounts";
    case FindingKind::KeyWithoutAccount:
        return "key-without-account";
    case FindingKind::KeyEmpty:
        return "key-empty";
    case FindingKind::KeyUnusable:
        return "key-unusable";
    case FindingKind::DuplicateRoute:
        return "duplicate-route";
    case FindingKind::DuplicateService:
        return "duplicate-service";
    case FindingKind::DuplicateAccount:
        return "duplicate-account";
    case FindingKind::RetriesWithoutBudget:
        return "retries-without-budget";
    case FindingKind::TimeoutZero:
        return "timeout-zero";
    case FindingKind::TimeoutBelowObjective:
        return "timeout-below-objective";
    case FindingKind::BodyLimitBelowHeaderLimit:
        return "body-limit-below-header-limit";
    case FindingKind::HedgeShareAboveRetryRatio:
        return "hedge-share-above-retry-ratio";
    case FindingKind::WarmingTimeWithoutRate:
        return "warming-time-without-rate";
    case FindingKind::WarmingRateWithoutTime:
        return "warming-rate-without-time";
    case FindingKind::VersionNotHigher:
        return "version-not-higher";
    }
    return {};
}

std::string describe(const Finding &finding)
{
    const std::string route = "route \"" + finding.subject + "\"";
    const std::string service = "service \"" + finding.subject + "\"";
    const std::string account = "account \"" + finding.subject + "\"";
    const std::string other = "\"" + finding.other + "\"";
    switch (finding.kind) {
    case FindingKind::RouteShadowed:
        return route + " never matches: the earlier route " + other
               + " has the same host and path prefix";
    case FindingKind::RouteUnreachable:
        return route + " never matches: no request has the host or path " + other;
    case FindingKind::RouteWithoutKeys:
        return route + " rejects every request: it needs an API key, and no account has one";
    case FindingKind::ServiceUnknown:
        return route + " sends to the service " + other + ", which is not listed";
    case FindingKind::ServiceWithoutRoute:
        return service + " gets no requests: no route sends to it";
    case FindingKind::ShareWithoutRequests:
        return route + " sends no requests to the service " + other
               + ": weights below 1 count as 0, and the last service gets all if all are 0";
    case FindingKind::AccountWithoutKeys:
        return account + " has no API key";
    case FindingKind::KeyOfTwoAccounts:
        return "a key of the " + account + " is used for the later account " + other;
    case FindingKind::KeyWithoutAccount:
        return "a key belongs to an account without a name";
    case FindingKind::KeyEmpty:
        return "requests without a key count as requests of the " + account
               + ", which has an empty key";
    case FindingKind::KeyUnusable:
        return "a key of the " + account
               + " is not usable: HTTP does not allow control characters and drops white space at"
                 " the end";
    case FindingKind::DuplicateRoute:
        return "the name of the " + route + " is used by an earlier route";
    case FindingKind::DuplicateService:
        return service + " is listed again; the last entry counts";
    case FindingKind::DuplicateAccount:
        return account + " is listed again; the last priority and all keys count";
    case FindingKind::RetriesWithoutBudget:
        return route + " allows " + finding.other
               + " servers for a request, but the settings allow no retries";
    case FindingKind::TimeoutZero:
        return route + " has no timeout, so each request is overdue at its arrival";
    case FindingKind::TimeoutBelowObjective:
        return "the timeout of the " + route + " is below its latency objective of " + finding.other
               + " ms";
    case FindingKind::BodyLimitBelowHeaderLimit:
        return "bodies may be smaller than headers, which may have " + finding.other + " bytes";
    case FindingKind::HedgeShareAboveRetryRatio:
        return "the share of hedged requests, " + finding.subject + ", is above the retry ratio, "
               + finding.other + ", which limits them, too";
    case FindingKind::WarmingTimeWithoutRate:
        return service
               + " has a warming time but no warming rate, so its warming servers are not limited";
    case FindingKind::WarmingRateWithoutTime:
        return service
               + " has a warming rate but no warming time, so its warming servers are not limited";
    case FindingKind::VersionNotHigher:
        return "routers ignore this configuration: the version in force is " + finding.other;
    }
    return {};
}

} // namespace lovagecourse
