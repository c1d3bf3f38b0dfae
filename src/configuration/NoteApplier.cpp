#include "configuration/NoteApplier.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace lovagecourse {

namespace {

template <class Field>
void assignIfSet(const std::optional<Field> &from, Field &to)
{
    if (from)
        to = *from;
}

template <class Items, class Id>
bool containsName(const Items &items, const Id &name)
{
    return std::any_of(items.begin(), items.end(),
                       [&name](const auto &item) { return item.name == name; });
}

/// Applies a note to a copy of the state and collects the conflicts.
class NoteApplier
{
public:
    NoteApplier(const ReleaseNote &note, const ConfigurationState &state)
        : note_(note)
        , state_(state)
    {}

    void apply(FencingNumber fencing)
    {
        applyItems();
        applyOrders(fencing);
        // The state before the note is valid, so only what the note changes is checked. A full
        // check of 26,000 accounts blocked the event loop for 38 ms.
        if (!note_.addedServices.empty())
            checkPaths();
        if (changesApiKeys())
            checkApiKeys();
        if (affectsServers())
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

    bool changesApiKeys() const
    {
        const auto &changed = note_.changedAccounts;
        return !note_.addedAccounts.empty()
               || std::any_of(changed.begin(), changed.end(), [](const AccountChange &change) {
                      return change.apiKeyDigests.has_value();
                  });
    }

    bool affectsServers() const
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
            const bool isFirstAdded = containsName(note_.addedServices, owner->second);
            const bool isSecondAdded = containsName(note_.addedServices, name);
            const ServiceId &newer = isFirstAdded && !isSecondAdded ? owner->second : name;
            const ServiceId &older = newer == name ? owner->second : name;
            addFault(NoteFaultKind::Duplicate, "added.services." + newer.value + ".path",
                     "a path that service " + older.value + " does not use");
        }
    }

    void checkApiKeys()
    {
        std::map<std::string, AccountId> owners;
        for (const auto &[name, account] : state_.accounts) {
            for (const std::string &digest : account.apiKeyDigests) {
                const auto [owner, isNew] = owners.emplace(digest, name);
                if (!isNew)
                    addDuplicateFault(note_.addedAccounts, note_.changedAccounts, owner->second,
                                      name, "accounts", "keys", "API keys");
            }
        }
    }

    void checkServers()
    {
        std::map<Endpoint, ServerId> owners;
        for (const auto &[name, server] : state_.servers) {
            const auto [owner, isNew] = owners.emplace(server.agent, name);
            if (!isNew)
                addDuplicateFault(note_.addedServers, note_.changedServers, owner->second, name,
                                  "servers", "agent", "an agent address");
            if (server.minLimit > server.maxLimit)
                addFault(NoteFaultKind::OutOfRange, serverItem(name) + ".max_limit",
                         "at least the value of min_limit, " + std::to_string(server.minLimit));
            checkServicesOf(server);
        }
    }

    void checkServicesOf(const BackendServer &server)
    {
        for (const ServiceId &service : server.services) {
            if (state_.services.count(service) > 0)
                continue;
            const auto &withdrawn = note_.withdrawnServices;
            if (std::find(withdrawn.begin(), withdrawn.end(), service) != withdrawn.end())
                addFault(NoteFaultKind::StillUsed, "withdrawn.services." + service.value,
                         "a service that no server provides, but server " + server.name.value
                                 + " provides it");
            else
                addFault(NoteFaultKind::DoesNotExist, serverItem(server.name) + ".services",
                         "existing services, but " + service.value + " does not exist");
        }
    }

    std::string serverItem(const ServerId &name) const
    {
        const bool isAdded = containsName(note_.addedServers, name);
        return (isAdded ? "added.servers." : "changed.servers.") + name.value;
    }

    /// Reports a value that two items share, at the item that the note adds or changes; at the
    /// second item when the note contains both.
    template <class Added, class Changed, class Id>
    void addDuplicateFault(const Added &added, const Changed &changed, const Id &first,
                           const Id &second, const std::string &kind, const std::string &field,
                           const std::string &what)
    {
        const bool isSecondNamed = containsName(added, second) || containsName(changed, second);
        const Id &named = isSecondNamed ? second : first;
        const Id &other = isSecondNamed ? first : second;
        const std::string part = containsName(added, named) ? "added." : "changed.";
        addFault(NoteFaultKind::Duplicate, part + kind + '.' + named.value + '.' + field,
                 what + " that " + other.value + " does not use");
    }

    void addFault(NoteFaultKind kind, const std::string &item, const std::string &expected)
    {
        const NotePosition position = positionOf(item);
        faults_.push_back({kind, position.line, position.column, item, expected});
    }

    /// Position of the item, or of its innermost parent that has one.
    NotePosition positionOf(std::string item) const
    {
        for (;;) {
            const auto found = note_.positions.find(item);
            if (found != note_.positions.end())
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
    assignIfSet(change.share, account.share);
    assignIfSet(change.apiKeyDigests, account.apiKeyDigests);
}

void applyChange(const ServiceChange &change, Service &service)
{
    assignIfSet(change.queueLimit, service.queueLimit);
    assignIfSet(change.defaultDeadline, service.defaultDeadline);
    assignIfSet(change.defaultCost, service.defaultCost);
    assignIfSet(change.longAbove, service.longAbove);
}

void applyChange(const ServerChange &change, BackendServer &server)
{
    assignIfSet(change.address, server.address);
    assignIfSet(change.agent, server.agent);
    assignIfSet(change.services, server.services);
    assignIfSet(change.models, server.models);
    assignIfSet(change.checksFencing, server.checksFencing);
    assignIfSet(change.leaving, server.leaving);
    assignIfSet(change.minLimit, server.minLimit);
    assignIfSet(change.maxLimit, server.maxLimit);
}

std::variant<ConfigurationState, std::vector<NoteFault>>
applyReleaseNote(const ReleaseNote &note, const ConfigurationState &state, FencingNumber fencing)
{
    NoteApplier applier(note, state);
    applier.apply(fencing);
    std::vector<NoteFault> faults = applier.takeFaults();
    if (!faults.empty())
        return faults;
    return applier.takeState();
}

std::vector<NoteFault> checkReleaseNote(const ReleaseNote &note, const ConfigurationState &state)
{
    NoteApplier applier(note, state);
    applier.apply(FencingNumber());
    return applier.takeFaults();
}

} // namespace lovagecourse
