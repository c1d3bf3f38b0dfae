#include "checking/ConfigurationDifference.h"

#include "checking/FindingList.h"
#include "entry/RequestValidator.h"

#include <limits>
#include <map>
#include <sstream>

namespace lovagecourse {

namespace {

using Values = std::map<ConfigurationField, std::string>;
/// Entries of one kind by id.
using Entries = std::map<std::string, Values>;

// 64 bits tell the keys of one configuration apart.
constexpr std::size_t keyHashDigits = 16;
constexpr double millisecondsPerSecond = 1000;

std::string toText(double value)
{
    std::ostringstream text;
    text.precision(std::numeric_limits<double>::digits10);
    text << value;
    return text.str();
}

std::string toText(milliseconds time)
{
    return std::to_string(time.count());
}

std::string toText(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Unsafe:
        return "unsafe";
    case RequestKind::Stream:
        return "streaming";
    case RequestKind::ResumableStream:
        return "streaming, resumable";
    }
    return {};
}

/// Formats one service as its name, several with their weights, as in "a:90 b:10".
std::string toText(const std::vector<ServiceShare> &services)
{
    if (services.size() == 1)
        return services.front().service.value;
    std::string text;
    for (const ServiceShare &share : services)
        text += (text.empty() ? "" : " ") + share.service.value + ':'
                + std::to_string(share.weight);
    return text;
}

Values valuesOf(const Route &route)
{
    return {{ConfigurationField::RouteHost, route.host},
            {ConfigurationField::RoutePathPrefix, route.pathPrefix},
            {ConfigurationField::RouteKind, toText(route.kind)},
            {ConfigurationField::RouteTimeout, toText(route.timeout)},
            {ConfigurationField::RouteObjective, toText(route.objective)},
            {ConfigurationField::RoutePriority, std::to_string(route.priority)},
            {ConfigurationField::RouteMaxServers, std::to_string(route.maxServers)},
            {ConfigurationField::RouteIsPublic, route.isPublic ? "true" : "false"},
            {ConfigurationField::RouteService, toText(route.services)}};
}

Values valuesOf(const ServiceInfo &info)
{
    const double warmingSeconds =
            static_cast<double>(info.warmingTime.count()) / millisecondsPerSecond;
    return {{ConfigurationField::ServiceMaxConnections, std::to_string(info.maxConnections)},
            {ConfigurationField::ServiceCacheTokens, toText(info.cacheTokens)},
            {ConfigurationField::ServiceWarmingTime, toText(warmingSeconds)},
            {ConfigurationField::ServiceWarmingRate, toText(info.warmingRate)}};
}

/// Returns the entries of one kind.
Entries entriesOf(EntryKind kind, const ListedConfiguration &configuration)
{
    Entries entries;
    switch (kind) {
    case EntryKind::Limits:
        entries[""] = {
                {ConfigurationField::Version, std::to_string(configuration.version)},
                {ConfigurationField::Accounts, configuration.hasAccounts ? "given" : "absent"},
                {ConfigurationField::MaxHeaderBytes, std::to_string(configuration.maxHeaderBytes)},
                {ConfigurationField::MaxBodyBytes, std::to_string(configuration.maxBodyBytes)},
                {ConfigurationField::IdleTimeout, toText(configuration.idleTimeout)},
                {ConfigurationField::FleetTokensPerSecond,
                 toText(configuration.fleetTokensPerSecond)}};
        break;
    case EntryKind::Route: {
        std::map<std::string, unsigned> counts;
        for (const Route &route : configuration.routes) {
            const unsigned count = ++counts[route.name];
            const std::string number = count > 1 ? '#' + std::to_string(count) : "";
            entries[route.name + number] = valuesOf(route);
        }
        break;
    }
    case EntryKind::Service:
        for (const ListedService &service : configuration.services)
            entries[service.id.value] = valuesOf(service.info);
        break;
    case EntryKind::Account:
        for (const ListedAccount &account : configuration.accounts)
            entries[account.id.value] = {
                    {ConfigurationField::AccountPriority, std::to_string(account.priority)}};
        break;
    case EntryKind::Key:
        for (const ListedAccount &account : configuration.accounts) {
            // One copy for each key: with a long name, the memory would grow with the square of
            // the file's size.
            const std::string name = shortened(account.id.value);
            for (const std::string &key : account.keys)
                entries[apiKeyDigest(key).substr(0, keyHashDigits)] = {
                        {ConfigurationField::AccountName, name}};
        }
        break;
    }
    return entries;
}

/// Compares the values of one entry; an absent entry is null.
std::vector<FieldChange> compareValues(const Values *before, const Values *after)
{
    std::vector<FieldChange> changes;
    for (const auto &[field, value] : after ? *after : *before) {
        FieldChange change{field, std::nullopt, std::nullopt};
        if (before)
            change.before = before->at(field);
        if (after)
            change.after = value;
        if (change.before != change.after)
            changes.push_back(std::move(change));
    }
    return changes;
}

void compareEntries(EntryKind kind, const Entries &before, const Entries &after,
                    std::vector<Difference> &differences)
{
    for (const auto &[id, values] : before) {
        const auto found = after.find(id);
        if (found == after.end()) {
            differences.push_back({ChangeKind::Removed, kind, id, compareValues(&values, nullptr)});
            continue;
        }
        std::vector<FieldChange> changes = compareValues(&values, &found->second);
        if (!changes.empty())
            differences.push_back({ChangeKind::Changed, kind, id, std::move(changes)});
    }
    for (const auto &[id, values] : after) {
        if (!before.contains(id))
            differences.push_back({ChangeKind::Added, kind, id, compareValues(nullptr, &values)});
    }
}

} // namespace

std::string_view toName(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return {};
}

std::string_view toName(EntryKind kind)
{
    switch (kind) {
    case EntryKind::Limits:
        return "limits";
    case EntryKind::Route:
        return "route";
    case EntryKind::Service:
        return "service";
    case EntryKind::Account:
        return "account";
    case EntryKind::Key:
        return "key";
    }
    return {};
}

std::vector<Difference> compareConfigurations(const ListedConfiguration &before,
                                              const ListedConfiguration &after)
{
    std::vector<Difference> differences;
    for (const EntryKind kind : {EntryKind::Limits, EntryKind::Route, EntryKind::Service,
                                 EntryKind::Account, EntryKind::Key})
        compareEntries(kind, entriesOf(kind, before), entriesOf(kind, after), differences);
    return differences;
}

std::vector<Finding> checkVersion(const ListedConfiguration &inForce,
                                  const ListedConfiguration &next)
{
    if (next.version > inForce.version || compareConfigurations(inForce, next).empty())
        return {};
    return {{FindingKind::VersionNotHigher,
             FieldPlace{ConfigurationField::Version, 0, {}},
             {},
             std::to_string(inForce.version)}};
}

} // namespace lovagecourse
