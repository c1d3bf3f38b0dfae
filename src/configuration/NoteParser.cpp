#include "configuration/NoteCheck.h"
#include "configuration/NoteTable.h"
#include "configuration/ReleaseNote.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <utility>

namespace lovagecourse {

namespace {

// Keeps a record well below what a daemon can hold several of in memory.
constexpr std::size_t maxNoteBytes = 1U << 20U;

constexpr NumberRule<double> shareRule{0.001, 1e6, "a number from 0.001 to 1000000"};
constexpr NumberRule<double> workRule{0.001, 1e9, "a number from 0.001 to 1000000000"};
constexpr NumberRule<std::int64_t> queueRule{1, 1000000, "an integer from 1 to 1000000"};
constexpr NumberRule<std::int64_t> deadlineRule{1, 86400000, "an integer from 1 to 86400000"};
constexpr NumberRule<std::int64_t> limitRule{1, 100000, "an integer from 1 to 100000"};
constexpr NumberRule<std::int64_t> followsRule{0, std::numeric_limits<std::int64_t>::max(),
                                               "the number of the newest note, 0 for the first"};

bool isKind(std::string_view text)
{
    return text == "model" || text == "plain";
}

bool isAction(std::string_view text)
{
    constexpr std::array<std::string_view, 4> actions{"load-model", "unload-model", "load-adapter",
                                                      "set-role"};
    return std::find(actions.begin(), actions.end(), text) != actions.end();
}

constexpr TextRule kindRule{&isKind, "\"model\" or \"plain\""};
constexpr TextRule actionRule{&isAction,
                              "\"load-model\", \"unload-model\", \"load-adapter\" or \"set-role\""};

template <class Id>
std::vector<Id> toIds(std::vector<std::string> texts)
{
    std::vector<Id> ids;
    ids.reserve(texts.size());
    for (std::string &text : texts)
        ids.emplace_back(std::move(text));
    return ids;
}

template <class Id>
std::optional<std::vector<Id>> toIds(std::optional<std::vector<std::string>> texts)
{
    if (!texts)
        return std::nullopt;
    return toIds<Id>(std::move(*texts));
}

template <class Number, class Value>
std::optional<Number> convert(const std::optional<Value> &value)
{
    if (!value)
        return std::nullopt;
    return Number(*value);
}

std::optional<Endpoint> readEndpoint(NoteTable &table, std::string_view key, Need need)
{
    const auto text = table.text(key, endpointRule, need);
    return text ? parseEndpoint(*text) : std::nullopt;
}

/// Reads one note; holds the names that were seen, to find items that are named twice.
class NoteParser
{
public:
    explicit NoteParser(const toml::table &root)
        : root_(root, "", reading_)
    {}

    ReleaseNoteResult parse()
    {
        readHead();
        root_.table("added", [this](NoteTable &table) { readAdded(table); });
        root_.table("changed", [this](NoteTable &table) { readChanged(table); });
        root_.table("withdrawn", [this](NoteTable &table) { readWithdrawn(table); });
        root_.tables("orders", [this](NoteTable &table) { readOrder(table); });
        root_.finish();
        if (!reading_.faults.empty())
            return sortedFaults();
        note_.places = std::move(reading_.places);
        return std::move(note_);
    }

private:
    /// Faults in the order of the text, as an editor would step through them.
    std::vector<NoteFault> sortedFaults()
    {
        auto &faults = reading_.faults;
        std::stable_sort(faults.begin(), faults.end(), [](const auto &left, const auto &right) {
            return std::pair(left.line, left.column) < std::pair(right.line, right.column);
        });
        return std::move(faults);
    }

    void readHead()
    {
        if (const auto follows = root_.integer("follows", followsRule, Need::Required))
            note_.follows = NoteNumber(static_cast<std::uint64_t>(*follows));
        note_.title = root_.text("title", titleRule, Need::Optional).value_or("");
    }

    void readAdded(NoteTable &added)
    {
        added.tables("accounts", [this](NoteTable &table) { readAddedAccount(table); });
        added.tables("services", [this](NoteTable &table) { readAddedService(table); });
        added.tables("servers", [this](NoteTable &table) { readAddedServer(table); });
    }

    void readChanged(NoteTable &changed)
    {
        changed.tables("accounts", [this](NoteTable &table) {
            note_.changedAccounts.push_back(readAccountFields(table, Need::Optional));
            requireChange(table);
        });
        changed.tables("services", [this](NoteTable &table) {
            note_.changedServices.push_back(readServiceFields(table));
            requireChange(table);
        });
        changed.tables("servers", [this](NoteTable &table) {
            note_.changedServers.push_back(readServerFields(table, Need::Optional));
            requireChange(table);
        });
    }

    void readWithdrawn(NoteTable &withdrawn)
    {
        note_.withdrawnAccounts = toIds<AccountId>(readWithdrawnNames(withdrawn, "accounts"));
        note_.withdrawnServices = toIds<ServiceId>(readWithdrawnNames(withdrawn, "services"));
        note_.withdrawnServers = toIds<ServerId>(readWithdrawnNames(withdrawn, "servers"));
    }

    void readAddedAccount(NoteTable &table)
    {
        const AccountChange fields = readAccountFields(table, Need::Required);
        ClientAccount account;
        account.name = fields.name;
        applyChange(fields, account);
        note_.addedAccounts.push_back(std::move(account));
    }

    void readAddedService(NoteTable &table)
    {
        const ServiceChange fields = readServiceFields(table);
        Service service;
        service.name = fields.name;
        applyChange(fields, service);
        service.path = table.text("path", pathRule, Need::Required).value_or("");
        const auto kind = table.text("kind", kindRule, Need::Required);
        service.kind = kind == "model" ? ServiceKind::Model : ServiceKind::Plain;
        service.repeatable = table.boolean("repeatable").value_or(true);
        note_.addedServices.push_back(std::move(service));
    }

    void readAddedServer(NoteTable &table)
    {
        const ServerChange fields = readServerFields(table, Need::Required);
        BackendServer server;
        server.name = fields.name;
        applyChange(fields, server);
        server.host = HostId(table.text("host", nameRule, Need::Required).value_or(""));
        server.dataCentre =
                DataCentreId(table.text("data_centre", nameRule, Need::Required).value_or(""));
        note_.addedServers.push_back(std::move(server));
    }

    AccountChange readAccountFields(NoteTable &table, Need need)
    {
        AccountChange fields;
        fields.name = AccountId(readName(table, "accounts"));
        fields.share = convert<Share>(table.number("share", shareRule, need));
        fields.keyDigests = table.texts("keys", digestRule, need);
        return fields;
    }

    ServiceChange readServiceFields(NoteTable &table)
    {
        ServiceChange fields;
        fields.name = ServiceId(readName(table, "services"));
        fields.queueLimit =
                convert<std::uint32_t>(table.integer("queue_limit", queueRule, Need::Optional));
        fields.defaultDeadline = convert<milliseconds>(
                table.integer("default_deadline_ms", deadlineRule, Need::Optional));
        fields.defaultCost = convert<Work>(table.number("default_cost", workRule, Need::Optional));
        fields.longAbove = convert<Work>(table.number("long_above", workRule, Need::Optional));
        return fields;
    }

    ServerChange readServerFields(NoteTable &table, Need need)
    {
        ServerChange fields;
        fields.name = ServerId(readName(table, "servers"));
        fields.address = readEndpoint(table, "address", need);
        fields.agent = readEndpoint(table, "agent", need);
        fields.services = toIds<ServiceId>(table.texts("services", nameRule, need));
        fields.models = toIds<ModelId>(table.texts("models", modelRule, Need::Optional));
        fields.checksFencing = table.boolean("checks_fencing");
        fields.leaving = table.boolean("leaving");
        fields.minLimit =
                convert<std::uint32_t>(table.integer("min_limit", limitRule, Need::Optional));
        fields.maxLimit =
                convert<std::uint32_t>(table.integer("max_limit", limitRule, Need::Optional));
        return fields;
    }

    void readOrder(NoteTable &table)
    {
        ServerOrder order;
        order.server = ServerId(table.text("server", nameRule, Need::Required).value_or(""));
        order.action = table.text("action", actionRule, Need::Required).value_or("");
        order.argument = table.text("argument", argumentRule, Need::Required).value_or("");
        table.setItem("orders." + order.server.value + '.' + order.action);
        table.markPlace();
        // Only the newest order per server and action lasts, so two in one note contradict.
        if (!orders_.emplace(order.server.value, order.action).second)
            reading_.addFault(NoteFaultKind::Duplicate, table.source(), table.item(),
                              "one order per server and action");
        note_.orders.push_back(std::move(order));
    }

    /// Reads the name of an item and names the table after it.
    std::string readName(NoteTable &table, const std::string &kind)
    {
        const auto name = table.text("name", nameRule, Need::Required);
        if (!name)
            return {};
        table.setItem(table.item() + '.' + *name);
        table.markPlace();
        requireFirstUse(kind, *name, table.source(), table.item());
        return *name;
    }

    std::vector<std::string> readWithdrawnNames(NoteTable &table, const std::string &kind)
    {
        auto names =
                table.texts(kind, nameRule, Need::Optional).value_or(std::vector<std::string>());
        const std::string prefix = table.item() + '.' + kind + '.';
        for (const std::string &name : names) {
            std::string item = prefix;
            item += name;
            requireFirstUse(kind, name, table.source(), item);
        }
        return names;
    }

    /// An item that is added and withdrawn by the same note would depend on their order.
    void requireFirstUse(const std::string &kind, const std::string &name,
                         const toml::source_region &source, const std::string &item)
    {
        if (!names_.emplace(kind, name).second)
            reading_.addFault(NoteFaultKind::Duplicate, source, item,
                              "each item only once in a note");
    }

    void requireChange(NoteTable &table)
    {
        if (table.size() < 2)
            reading_.addFault(NoteFaultKind::Missing, table.source(), table.item(),
                              "at least one field that changes");
    }

    NoteReading reading_;
    NoteTable root_;
    ReleaseNote note_;
    /// Kind and name of the items that were seen.
    std::set<std::pair<std::string, std::string>> names_;
    /// Server and action of the orders that were seen.
    std::set<std::pair<std::string, std::string>> orders_;
};

std::vector<NoteFault> wholeNoteFault(NoteFaultKind kind, const std::string &expected)
{
    return {NoteFault{kind, 1, 1, "note", expected}};
}

} // namespace

ReleaseNoteResult parseReleaseNote(std::string_view toml)
{
    if (toml.size() > maxNoteBytes)
        return wholeNoteFault(NoteFaultKind::OutOfRange, "at most 1048576 bytes");
    const toml::parse_result root = toml::parse(toml);
    if (root)
        return NoteParser(root.table()).parse();
    NoteReading reading;
    reading.addFault(NoteFaultKind::Syntax, root.error().source(), "note",
                     "valid TOML (" + std::string(root.error().description()) + ")");
    return std::move(reading.faults);
}

} // namespace lovagecourse
