#include "configuration/NoteCheck.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace lovagecourse {

namespace {

template <class Field>
void assign(const std::optional<Field> &from, Field &to)
{
    if (from)
        to = *from;
}

template <class Items, class Id>
bool names(const Items &items, const Id &name)
{
    return std::any_of(items.begin(), items.end(),
                       [&name](const auto &item) { return item.name == name; });
}

/// Applies a note to a copy of the state and collects what does not fit.
class NoteCheck
{
public:
    NoteCheck(const ReleaseNote &note, const ConfigurationState &state)
        : note_(note)
        , state_(state)
    {}

    void run(FencingNumber fencing)
    {
        applyItems();
        applyOrders(fencing);
        // The state before the note is free of faults, so only what the note touches can have
        // some. A whole check took 38 ms of the event loop with 26,000 accounts.
        if (!note_.addedServices.empty())
            checkPaths();
        if (touchesKeys())
            checkKeys();
        if (touchesServers())
            checkServers();
    }

    std::vector<NoteFault> takeFaults() { return std::move(faults_); }
    ConfigurationState takeState() { return std::move(state_); }

private:
    void applyItems()
    {
        add(note_.addedAccounts, state_.accounts, "added.accounts.");
        add(note_.addedServices, state_.services, "added.services.");
        add(note_.addedServers, state_.servers, "added.servers.");
        change(note_.changedAccounts, state_.accounts, "changed.accounts.");
        change(note_.changedServices, state_.services, "changed.services.");
        change(note_.changedServers, state_.servers, "changed.servers.");
        withdraw(note_.withdrawnAccounts, state_.accounts, "withdrawn.accounts.");
        withdraw(note_.withdrawnServices, state_.services, "withdrawn.services.");
        withdraw(note_.withdrawnServers, state_.servers, "withdrawn.servers.");
    }

    template <class Items, class Map>
    void add(const Items &items, Map &map, const std::string &prefix)
    {
        for (const auto &item : items) {
            if (!map.emplace(item.name, item).second)
                addFault(NoteFaultKind::AlreadyExists, prefix + item.name.value,
                         "a name that is not in use");
        }
    }

    template <class Changes, class Map>
    void change(const Changes &changes, Map &map, const std::string &prefix)
    {
        for (const auto &change : changes) {
            const auto found = map.find(change.name);
            if (found == map.end())
                addFault(NoteFaultKind::DoesNotExist, prefix + change.name.value,
                         "an existing name");
            else
                applyChange(change, found->second);
        }
    }

    template <class Names, class Map>
    void withdraw(const Names &names, Map &map, const std::string &prefix)
    {
        for (const auto &name : names) {
            if (map.erase(name) == 0)
                addFault(NoteFaultKind::DoesNotExist, prefix + name.value, "an existing name");
        }
    }

    void applyOrders(FencingNumber fencing)
    {
        std::erase_if(state_.orders, [this](const ServerOrder &order) {
            return state_.servers.count(order.server) == 0;
        });
        for (ServerOrder order : note_.orders) {
            order.fencing = fencing;
            if (state_.servers.count(order.server) == 0)
                addFault(NoteFaultKind::DoesNotExist,
                         "orders." + order.server.value + '.' + order.action, "an existing server");
            else
                replaceOrder(order);
        }
    }

    void replaceOrder(const ServerOrder &newer)
    {
        std::erase_if(state_.orders, [&newer](const ServerOrder &order) {
            return order.server == newer.server && order.action == newer.action;
        });
        state_.orders.push_back(newer);
    }

    bool touchesKeys() const
    {
        const auto &changed = note_.changedAccounts;
        return !note_.addedAccounts.empty()
               || std::any_of(changed.begin(), changed.end(), [](const AccountChange &change) {
                      return change.keyDigests.has_value();
                  });
    }

    bool touchesServers() const
    {
        return !note_.addedServers.empty() || !note_.changedServers.empty()
               || !note_.withdrawnServices.empty();
    }

    void checkPaths()
    {
        std::map<std::string, ServiceId> owners;
        for (const auto &[name, service] : state_.services) {
            const auto [owner, isNew] = owners.emplace(service.path, name);
            if (isNew)
                continue;
            const bool isFirstAdded = names(note_.addedServices, owner->second);
            const bool isSecondAdded = names(note_.addedServices, name);
            const ServiceId &newer = isFirstAdded && !isSecondAdded ? owner->second : name;
            const ServiceId &older = newer == name ? owner->second : name;
            addFault(NoteFaultKind::Duplicate, "added.services." + newer.value + ".path",
                     "a path that service " + older.value + " does not have");
        }
    }

    void checkKeys()
    {
        std::map<std::string, AccountId> owners;
        for (const auto &[name, account] : state_.accounts) {
            for (const std::string &digest : account.keyDigests) {
                const auto [owner, isNew] = owners.emplace(digest, name);
                if (!isNew)
                    addSharedFault(note_.addedAccounts, note_.changedAccounts, owner->second, name,
                                   "accounts", "keys", "keys");
            }
        }
    }

    void checkServers()
    {
        std::map<Endpoint, ServerId> owners;
        for (const auto &[name, server] : state_.servers) {
            const auto [owner, isNew] = owners.emplace(server.agent, name);
            if (!isNew)
                addSharedFault(note_.addedServers, note_.changedServers, owner->second, name,
                               "servers", "agent", "an agent address");
            if (server.minLimit > server.maxLimit)
                addFault(NoteFaultKind::OutOfRange, serverItem(name) + ".max_limit",
                         "at least min_limit, " + std::to_string(server.minLimit));
            checkOfferedServices(server);
        }
    }

    void checkOfferedServices(const BackendServer &server)
    {
        for (const ServiceId &service : server.services) {
            if (state_.services.count(service) > 0)
                continue;
            const auto &withdrawn = note_.withdrawnServices;
            if (std::find(withdrawn.begin(), withdrawn.end(), service) != withdrawn.end())
                addFault(NoteFaultKind::StillUsed, "withdrawn.services." + service.value,
                         "a service that no server offers, but server " + server.name.value
                                 + " does");
            else
                addFault(NoteFaultKind::DoesNotExist, serverItem(server.name) + ".services",
                         "existing services, but " + service.value + " is none");
        }
    }

    std::string serverItem(const ServerId &name) const
    {
        const bool isAdded = names(note_.addedServers, name);
        return (isAdded ? "added.servers." : "changed.servers.") + name.value;
    }

    /// Reports the item of the pair that the note names, the second one when it names both.
    template <class Added, class Changed, class Id>
    void addSharedFault(const Added &added, const Changed &changed, const Id &first,
                        const Id &second, const std::string &kind, const std::string &field,
                        const std::string &what)
    {
        const bool isSecondNamed = names(added, second) || names(changed, second);
        const Id &named = isSecondNamed ? second : first;
        const Id &other = isSecondNamed ? first : second;
        const std::string part = names(added, named) ? "added." : "changed.";
        addFault(NoteFaultKind::Duplicate, part + kind + '.' + named.value + '.' + field,
                 what + " that " + other.value + " does not have");
    }

    void addFault(NoteFaultKind kind, const std::string &item, const std::string &expected)
    {
        const NotePlace place = placeOf(item);
        faults_.push_back({kind, place.line, place.column, item, expected});
    }

    /// Place of the item, or of the nearest one around it.
    NotePlace placeOf(std::string item) const
    {
        for (;;) {
            const auto found = note_.places.find(item);
            if (found != note_.places.end())
                return found->second;
            const std::size_t dot = item.rfind('.');
            if (dot == std::string::npos)
                return {};
            item.resize(dot);
        }
    }

    const ReleaseNote &note_;
    ConfigurationState state_;
    std::vector<NoteFault> faults_;
};

} // namespace

void applyChange(const AccountChange &change, ClientAccount &account)
{
    assign(change.share, account.share);
    assign(change.keyDigests, account.keyDigests);
}

void applyChange(const ServiceChange &change, Service &service)
{
    assign(change.queueLimit, service.queueLimit);
    assign(change.defaultDeadline, service.defaultDeadline);
    assign(change.defaultCost, service.defaultCost);
    assign(change.longAbove, service.longAbove);
}

void applyChange(const ServerChange &change, BackendServer &server)
{
    assign(change.address, server.address);
    assign(change.agent, server.agent);
    assign(change.services, server.services);
    assign(change.models, server.models);
    assign(change.checksFencing, server.checksFencing);
    assign(change.leaving, server.leaving);
    assign(change.minLimit, server.minLimit);
    assign(change.maxLimit, server.maxLimit);
}

std::variant<ConfigurationState, std::vector<NoteFault>>
applyReleaseNote(const ReleaseNote &note, const ConfigurationState &state, FencingNumber fencing)
{
    NoteCheck check(note, state);
    check.run(fencing);
    std::vector<NoteFault> faults = check.takeFaults();
    if (!faults.empty())
        return faults;
    return check.takeState();
}

std::vector<NoteFault> checkReleaseNote(const ReleaseNote &note, const ConfigurationState &state)
{
    NoteCheck check(note, state);
    check.run(FencingNumber());
    return check.takeFaults();
}

} // namespace lovagecourse
