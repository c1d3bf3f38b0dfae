#include "checking/ConfigurationCheck.h"

#include "checking/FindingList.h"
#include "core/Ascii.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace lovagecourse {

namespace {

bool isBlankOrControl(char letter)
{
    return letter == ' ' || isControl(letter);
}

/// The router compares the header field without its port.
bool isPossibleHost(std::string_view host)
{
    return std::none_of(host.begin(), host.end(),
                        [](char letter) { return letter == ':' || isBlankOrControl(letter); });
}

/// The router compares the request's target up to the query.
bool isPossiblePrefix(std::string_view prefix)
{
    // A target may also be a whole URL, and the router compares it as it was sent.
    const bool isUrl = prefix.starts_with("http://") || prefix.starts_with("https://");
    const bool begins = prefix.empty() || prefix.front() == '/' || prefix == "*" || isUrl;
    return begins && std::none_of(prefix.begin(), prefix.end(), [](char letter) {
               return letter == '?' || isBlankOrControl(letter);
           });
}

/// White space at the end of a header field is not part of its value. At its beginning there is
/// other text, so a key may begin with white space.
bool isPossibleKey(std::string_view key)
{
    const auto isBlank = [](char letter) { return letter == ' ' || letter == '\t'; };
    if (isBlank(key.back()))
        return false;
    return std::none_of(key.begin(), key.end(),
                        [](char letter) { return letter != '\t' && isControl(letter); });
}

std::string toText(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

bool hasKeys(const ListedConfiguration &configuration)
{
    return std::any_of(configuration.accounts.begin(), configuration.accounts.end(),
                       [](const ListedAccount &account) { return !account.keys.empty(); });
}

/// Returns, for each service of the route, whether it gets requests; selectService() gives all to
/// the last one if all weights are 0.
std::vector<bool> servicesWithRequests(const Route &route)
{
    std::vector<bool> has;
    for (const ServiceShare &share : route.services)
        has.push_back(share.weight > 0);
    if (std::find(has.begin(), has.end(), true) == has.end())
        has.back() = true;
    return has;
}

void checkServicesOf(const Route &route, std::size_t index, const std::set<ServiceId> &known,
                     FindingList &findings)
{
    const std::vector<bool> hasRequests = servicesWithRequests(route);
    const bool isSplit = route.services.size() > 1;
    for (std::size_t i = 0; i < route.services.size(); ++i) {
        const std::string &service = route.services[i].service.value;
        FieldPlace place{ConfigurationField::RouteService, index, {}};
        if (isSplit)
            place.element = i;
        if (!known.contains(route.services[i].service))
            findings.add(FindingKind::ServiceUnknown, place, route.name, service);
        if (isSplit && !hasRequests[i])
            findings.add(FindingKind::ShareWithoutRequests, place, route.name, service);
    }
}

void checkRoutes(const ListedConfiguration &configuration, FindingList &findings)
{
    std::set<ServiceId> known;
    for (const ListedService &service : configuration.services)
        known.insert(service.id);
    const bool lacksKeys = configuration.hasAccounts && !hasKeys(configuration);
    // Of the routes of a host, selectRoute() takes the longest prefix that matches, and the first
    // of equal ones. So a route is shadowed only by an equal prefix.
    std::map<std::pair<std::string_view, std::string_view>, const Route *> first;
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
        const Route &route = configuration.routes[i];
        const auto add = [&](FindingKind kind, ConfigurationField field,
                             std::string_view other = {}) {
            findings.add(kind, FieldPlace{field, i, {}}, route.name, other);
        };
        const auto [found, isFirst] =
                first.emplace(std::pair(route.host, route.pathPrefix), &route);
        if (!isFirst)
            add(FindingKind::RouteShadowed, ConfigurationField::RoutePathPrefix,
                found->second->name);
        if (!isPossibleHost(route.host))
            add(FindingKind::RouteUnreachable, ConfigurationField::RouteHost, route.host);
        if (!isPossiblePrefix(route.pathPrefix))
            add(FindingKind::RouteUnreachable, ConfigurationField::RoutePathPrefix,
                route.pathPrefix);
        if (lacksKeys && !route.isPublic)
            add(FindingKind::RouteWithoutKeys, ConfigurationField::RouteIsPublic);
        if (!names.insert(route.name).second)
            add(FindingKind::DuplicateRoute, ConfigurationField::RouteName);
        checkServicesOf(route, i, known, findings);
    }
}

void checkServices(const ListedConfiguration &configuration, FindingList &findings)
{
    std::set<ServiceId> routed;
    for (const Route &route : configuration.routes) {
        for (const ServiceShare &share : route.services)
            routed.insert(share.service);
    }
    std::set<ServiceId> seen;
    for (std::size_t i = 0; i < configuration.services.size(); ++i) {
        const ServiceId &id = configuration.services[i].id;
        const FieldPlace place{ConfigurationField::ServiceName, i, {}};
        if (!seen.insert(id).second)
            findings.add(FindingKind::DuplicateService, place, id.value);
        else if (!routed.contains(id))
            findings.add(FindingKind::ServiceWithoutRoute, place, id.value);
    }
}

/// Accounts by number in the list.
struct AccountNumbers
{
    /// For each account, the first one with the same name.
    std::vector<std::size_t> sameName;
    /// The last account that lists a key.
    std::map<std::string_view, std::size_t> lastOfKey;
};

AccountNumbers numberAccounts(const std::vector<ListedAccount> &accounts)
{
    AccountNumbers numbers;
    std::map<std::string_view, std::size_t> firstOfName;
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        numbers.sameName.push_back(firstOfName.emplace(accounts[i].id.value, i).first->second);
        for (const std::string &key : accounts[i].keys)
            numbers.lastOfKey[key] = i;
    }
    return numbers;
}

void checkKey(const ListedConfiguration &configuration, const FieldPlace &place,
              const AccountNumbers &numbers, FindingList &findings)
{
    const ListedAccount &account = configuration.accounts[place.entry];
    const std::string &key = account.keys[place.element.value_or(0)];
    const auto add = [&](FindingKind kind, std::string_view other = {}) {
        findings.add(kind, place, account.id.value, other);
    };
    if (account.id.value.empty())
        add(FindingKind::KeyWithoutAccount);
    const std::size_t last = numbers.lastOfKey.at(key);
    if (numbers.sameName[last] != numbers.sameName[place.entry])
        add(FindingKind::KeyOfTwoAccounts, configuration.accounts[last].id.value);
    if (key.empty())
        add(FindingKind::KeyEmpty);
    else if (!isPossibleKey(key))
        add(FindingKind::KeyUnusable);
}

void checkAccounts(const ListedConfiguration &configuration, FindingList &findings)
{
    const AccountNumbers numbers = numberAccounts(configuration.accounts);
    std::set<AccountId> withKeys;
    for (const ListedAccount &account : configuration.accounts) {
        if (!account.keys.empty())
            withKeys.insert(account.id);
    }
    std::set<AccountId> seen;
    for (std::size_t i = 0; i < configuration.accounts.size(); ++i) {
        const ListedAccount &account = configuration.accounts[i];
        const FieldPlace place{ConfigurationField::AccountName, i, {}};
        if (!seen.insert(account.id).second)
            findings.add(FindingKind::DuplicateAccount, place, account.id.value);
        else if (!withKeys.contains(account.id))
            findings.add(FindingKind::AccountWithoutKeys, place, account.id.value);
        for (std::size_t k = 0; k < account.keys.size(); ++k)
            checkKey(configuration, {ConfigurationField::AccountKeys, i, k}, numbers, findings);
    }
}

} // namespace

std::vector<Finding> checkEntries(const ListedConfiguration &configuration)
{
    FindingList findings;
    checkRoutes(configuration, findings);
    checkServices(configuration, findings);
    checkAccounts(configuration, findings);
    return findings.take();
}

std::vector<Finding> checkLimits(const ListedConfiguration &configuration)
{
    FindingList findings;
    for (std::size_t i = 0; i < configuration.routes.size(); ++i) {
        const Route &route = configuration.routes[i];
        const FieldPlace place{ConfigurationField::RouteTimeout, i, {}};
        if (route.timeout.count() == 0)
            findings.add(FindingKind::TimeoutZero, place, route.name);
        else if (route.timeout < route.objective)
            findings.add(FindingKind::TimeoutBelowObjective, place, route.name,
                         std::to_string(route.objective.count()));
    }
    for (std::size_t i = 0; i < configuration.services.size(); ++i) {
        const ListedService &service = configuration.services[i];
        const bool hasTime = service.info.warmingTime.count() > 0;
        const bool hasRate = service.info.warmingRate > 0;
        if (hasTime && !hasRate)
            findings.add(FindingKind::WarmingTimeWithoutRate,
                         FieldPlace{ConfigurationField::ServiceWarmingTime, i, {}},
                         service.id.value);
        if (hasRate && !hasTime)
            findings.add(FindingKind::WarmingRateWithoutTime,
                         FieldPlace{ConfigurationField::ServiceWarmingRate, i, {}},
                         service.id.value);
    }
    // A limit of 0 stands for one that is not given.
    const bool isBodySmaller = configuration.maxBodyBytes > 0
                               && configuration.maxBodyBytes < configuration.maxHeaderBytes;
    if (isBodySmaller)
        findings.add(FindingKind::BodyLimitBelowHeaderLimit,
                     FieldPlace{ConfigurationField::MaxBodyBytes, 0, {}}, {},
                     std::to_string(configuration.maxHeaderBytes));
    return findings.take();
}

std::vector<Finding> checkAgainstSettings(const ListedConfiguration &configuration,
                                          const RetrySettings &settings)
{
    FindingList findings;
    const bool hasBudget = settings.ratio > 0 || settings.slack > 0;
    for (std::size_t i = 0; i < configuration.routes.size() && !hasBudget; ++i) {
        const Route &route = configuration.routes[i];
        if (route.maxServers > 1)
            findings.add(FindingKind::RetriesWithoutBudget,
                         FieldPlace{ConfigurationField::RouteMaxServers, i, {}}, route.name,
                         std::to_string(route.maxServers));
    }
    if (settings.hedgeShare > settings.ratio)
        findings.add(FindingKind::HedgeShareAboveRetryRatio, std::nullopt,
                     toText(settings.hedgeShare), toText(settings.ratio));
    return findings.take();
}

} // namespace lovagecourse
