#include "configuration/NoteApplier.h"
#include "configuration/NoteTableReader.h"
#include "configuration/ReleaseNote.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <utility>

namespace lovagecourse {

namespace {

// Small enough that a daemon can hold several records in memory.
constexpr std::size_t maxNoteBytes = 1U << 20U;
// The keys of a note have two parts.
constexpr std::size_t maxKeyParts = 16;

constexpr NumberRule<double> shareRule{0.001, 1e6, "a number from 0.001 to 1000000"};
constexpr NumberRule<double> workRule{0.001, 1e9, "a number from 0.001 to 1000000000"};
constexpr NumberRule<std::int64_t> queueLimitRule{1, 1000000, "an integer from 1 to 1000000"};
constexpr NumberRule<std::int64_t> deadlineMsRule{1, 86400000, "an integer from 1 to 86400000"};
constexpr NumberRule<std::int64_t> concurrencyLimitRule{1, 100000, "an integer from 1 to 100000"};
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

std::optional<Endpoint> readEndpoint(NoteTableReader &table, std::string_view key,
                                     Presence presence)
{
    const auto text = table.text(key, endpointRule, presence);
    return text ? parseEndpoint(*text) : std::nullopt;
}

/// Converts the TOML tree of one note into a ReleaseNote and collects every fault.
class NoteParser
{
public:
    explicit NoteParser(const toml::table &root)
        : root_(root, "", context_)
    {}

    ReleaseNoteResult parse()
    {
        readHeader();
        root_.table("added", [this](NoteTableReader &table) { readAdded(table); });
        root_.table("changed", [this](NoteTableReader &table) { readChanged(table); });
        root_.table("withdrawn", [this](NoteTableReader &table) { readWithdrawn(table); });
        root_.tables("orders", [this](NoteTableReader &table) { readOrder(table); });
        root_.reportUnknownKeys();
        if (!context_.faults.empty())
            return sortedFaults();
        note_.positions = std::move(context_.positions);
        return std::move(note_);
    }

private:
    /// The faults, ordered by line and column.
    std::vector<NoteFault> sortedFaults()
    {
        auto &faults = context_.faults;
        std::stable_sort(faults.begin(), faults.end(), [](const auto &left, const auto &right) {
            return std::pair(left.line, left.column) < std::pair(right.line, right.column);
        });
        return std::move(faults);
    }

    void readHeader()
    {
        if (const auto follows = root_.integer("follows", followsRule, Presence::Required))
            note_.follows = NoteNumber(static_cast<std::uint64_t>(*follows));
        note_.title = root_.text("title", titleRule, Presence::Optional).value_or("");
    }

    void readAdded(NoteTableReader &added)
    {
        added.tables("accounts", [this](NoteTableReader &table) { readAddedAccount(table); });
        added.tables("services", [this](NoteTableReader &table) { readAddedService(table); });
        added.tables("servers", [this](NoteTableReader &table) { readAddedServer(table); });
    }

    void readChanged(NoteTableReader &changed)
    {
        changed.tables("accounts", [this](NoteTableReader &table) {
            note_.changedAccounts.push_back(readAccountFields(table, Presence::Optional));
            requireChange(table);
        });
        changed.tables("services", [this](NoteTableReader &table) {
            note_.changedServices.push_back(readServiceFields(table));
            requireChange(table);
        });
        changed.tables("servers", [this](NoteTableReader &table) {
            note_.changedServers.push_back(readServerFields(table, Presence::Optional));
            requireChange(table);
        });
    }

    void readWithdrawn(NoteTableReader &withdrawn)
    {
        note_.withdrawnAccounts = toIds<AccountId>(readWithdrawnNames(withdrawn, "accounts"));
        note_.withdrawnServices = toIds<ServiceId>(readWithdrawnNames(withdrawn, "services"));
        note_.withdrawnServers = toIds<ServerId>(readWithdrawnNames(withdrawn, "servers"));
    }

    void readAddedAccount(NoteTableReader &table)
    {
        const AccountChange fields = readAccountFields(table, Presence::Required);
        ClientAccount account;
        account.name = fields.name;
        applyChange(fields, account);
        note_.addedAccounts.push_back(std::move(account));
    }

    void readAddedService(NoteTableReader &table)
    {
        const ServiceChange fields = readServiceFields(table);
        Service service;
        service.name = fields.name;
        applyChange(fields, service);
        service.path = table.text("path", pathRule, Presence::Required).value_or("");
        const auto kind = table.text("kind", kindRule, Presence::Required);
        service.kind = kind == "model" ? ServiceKind::Model : ServiceKind::Plain;
        service.repeatable = table.boolean("repeatable").value_or(true);
        note_.addedServices.push_back(std::move(service));
    }

    void readAddedServer(NoteTableReader &table)
    {
        const ServerChange fields = readServerFields(table, Presence::Required);
        BackendServer server;
        server.name = fields.name;
        applyChange(fields, server);
        server.host = HostId(table.text("host", nameRule, Presence::Required).value_or(""));
        server.dataCentre =
                DataCentreId(table.text("data_centre", nameRule, Presence::Required).value_or(""));
        note_.addedServers.push_back(std::move(server));
    }

    AccountChange readAccountFields(NoteTableReader &table, Presence presence)
    {
        AccountChange fields;
        fields.name = AccountId(readName(table, "accounts"));
        fields.share = convert<Share>(table.number("share", shareRule, presence));
        fields.apiKeyDigests = table.texts("keys", digestRule, presence);
        return fields;
    }

    ServiceChange readServiceFields(NoteTableReader &table)
    {
        ServiceChange fields;
        fields.name = ServiceId(readName(table, "services"));
        fields.queueLimit = convert<std::uint32_t>(
                table.integer("queue_limit", queueLimitRule, Presence::Optional));
        fields.defaultDeadline = convert<milliseconds>(
                table.integer("default_deadline_ms", deadlineMsRule, Presence::Optional));
        fields.defaultCost =
                convert<Work>(table.number("default_cost", workRule, Presence::Optional));
        fields.longAbove = convert<Work>(table.number("long_above", workRule, Presence::Optional));
        return fields;
    }

    ServerChange readServerFields(NoteTableReader &table, Presence presence)
    {
        ServerChange fields;
        fields.name = ServerId(readName(table, "servers"));
        fields.address = readEndpoint(table, "address", presence);
        fields.agent = readEndpoint(table, "agent", presence);
        fields.services = toIds<ServiceId>(table.texts("services", nameRule, presence));
        fields.models = toIds<ModelId>(table.texts("models", modelRule, Presence::Optional));
        fields.checksFencing = table.boolean("checks_fencing");
        fields.leaving = table.boolean("leaving");
        fields.minLimit = convert<std::uint32_t>(
                table.integer("min_limit", concurrencyLimitRule, Presence::Optional));
        fields.maxLimit = convert<std::uint32_t>(
                table.integer("max_limit", concurrencyLimitRule, Presence::Optional));
        return fields;
    }

    void readOrder(NoteTableReader &table)
    {
        ServerOrder order;
        order.server = ServerId(table.text("server", nameRule, Presence::Required).value_or(""));
        order.action = table.text("action", actionRule, Presence::Required).value_or("");
        order.argument = table.text("argument", argumentRule, Presence::Required).value_or("");
        table.setItem("orders." + order.server.value + '.' + order.action);
        table.recordPosition();
        // The state keeps one order per server and action, so a second one in the note would
        // replace the first.
        if (!seenOrders_.emplace(order.server.value, order.action).second)
            context_.addFault(NoteFaultKind::Duplicate, table.source(), table.item(),
                              "one order per server and action");
        note_.orders.push_back(std::move(order));
    }

    /// Reads the name of an item and appends it to the table's item path.
    std::string readName(NoteTableReader &table, const std::string &kind)
    {
        const auto name = table.text("name", nameRule, Presence::Required);
        if (!name)
            return {};
        table.setItem(table.item() + '.' + *name);
        table.recordPosition();
        requireFirstUse(kind, *name, table.source(), table.item());
        return *name;
    }

    std::vector<std::string> readWithdrawnNames(NoteTableReader &table, const std::string &kind)
    {
        auto names = table.texts(kind, nameRule, Presence::Optional)
                             .value_or(std::vector<std::string>());
        const std::string prefix = table.item() + '.' + kind + '.';
        for (const std::string &name : names) {
            std::string item = prefix;
            item += name;
            requireFirstUse(kind, name, table.source(), item);
        }
        return names;
    }

    /// Rejects items that appear twice in the note: the result would depend on the order of
    /// changes.
    void requireFirstUse(const std::string &kind, const std::string &name,
                         const toml::source_region &source, const std::string &item)
    {
        if (!seenItems_.emplace(kind, name).second)
            context_.addFault(NoteFaultKind::Duplicate, source, item,
                              "each item only once in a note");
    }

    void requireChange(NoteTableReader &table)
    {
        if (table.size() < 2)
            context_.addFault(NoteFaultKind::Missing, table.source(), table.item(),
                              "at least one field to change");
    }

    NoteParseContext context_;
    NoteTableReader root_;
    ReleaseNote note_;
    /// Kind and name of the items read so far.
    std::set<std::pair<std::string, std::string>> seenItems_;
    /// Server and action of the orders read so far.
    std::set<std::pair<std::string, std::string>> seenOrders_;
};

std::vector<NoteFault> wholeNoteFault(NoteFaultKind kind, const std::string &expected)
{
    return {NoteFault{kind, 1, 1, "note", expected}};
}

/// Returns the end of the TOML string that begins at a quotation mark.
std::size_t endOfString(std::string_view text, std::size_t begin)
{
    const char quote = text[begin];
    const std::string triple(3, quote);
    const bool isMultiLine = text.substr(begin, 3) == triple;
    const std::string_view delimiter = std::string_view(triple).substr(isMultiLine ? 0 : 2);
    for (std::size_t i = begin + delimiter.size(); i < text.size(); ++i) {
        if (quote == '"' && text[i] == '\\') {
            ++i;
        } else if (text.substr(i, delimiter.size()) == delimiter) {
            i += delimiter.size();
            // A multi-line string may end with quotation marks of its own.
            while (isMultiLine && i < text.size() && text[i] == quote)
                ++i;
            return i;
        } else if (!isMultiLine && text[i] == '\n') {
            return i;
        }
    }
    return text.size();
}

/// True if a dotted key has more than maxKeyParts. The parser limits nested values, but not the
/// tables that it builds for the parts of a key, and destroys these recursively.
bool hasDeepKey(std::string_view toml)
{
    constexpr std::string_view endsOfKey = "=[]{},\n";
    std::size_t parts = 1;
    for (std::size_t i = 0; i < toml.size();) {
        const char letter = toml[i];
        if (letter == '"' || letter == '\'') {
            i = endOfString(toml, i);
            continue;
        }
        if (letter == '#') {
            i = std::min(toml.find('\n', i), toml.size());
            continue;
        }
        if (letter == '.' && ++parts > maxKeyParts)
            return true;
        if (endsOfKey.find(letter) != std::string_view::npos)
            parts = 1;
        ++i;
    }
    return false;
}

} // namespace

ReleaseNoteResult parseReleaseNote(std::string_view toml)
{
    if (toml.size() > maxNoteBytes)
        return wholeNoteFault(NoteFaultKind::OutOfRange, "at most 1048576 bytes");
    if (hasDeepKey(toml))
        return wholeNoteFault(NoteFaultKind::OutOfRange, "keys of at most 16 parts");
    const toml::parse_result root = toml::parse(toml);
    if (root)
        return NoteParser(root.table()).parse();
    NoteParseContext context;
    context.addFault(NoteFaultKind::Syntax, root.error().source(), "note",
                     "valid TOML (" + std::string(root.error().description()) + ")");
    return std::move(context.faults);
}

} // namespace lovagecourse
