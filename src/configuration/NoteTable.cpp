#include "configuration/NoteTable.h"

#include "wire/Endpoint.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lovagecourse {

namespace {

bool isLetterOrDigit(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

/// True for 1 to maxSize letters, digits and extra characters.
bool consistsOf(std::string_view text, std::size_t maxSize, std::string_view extra)
{
    const bool isSizeGood = !text.empty() && text.size() <= maxSize;
    return isSizeGood && std::all_of(text.begin(), text.end(), [extra](char c) {
               return isLetterOrDigit(c) || extra.find(c) != std::string_view::npos;
           });
}

bool isName(std::string_view text)
{
    return consistsOf(text, 64, "._-");
}

bool isModel(std::string_view text)
{
    return consistsOf(text, 128, "._-:/");
}

bool isPath(std::string_view text)
{
    return text.starts_with('/') && consistsOf(text, 200, "/._-~");
}

bool isDigest(std::string_view text)
{
    return text.size() == 64
           && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool hasControlCharacter(std::string_view text)
{
    return std::any_of(text.begin(), text.end(),
                       [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
}

bool isTitle(std::string_view text)
{
    return text.size() <= 200 && !hasControlCharacter(text);
}

bool isArgument(std::string_view text)
{
    return !text.empty() && text.size() <= 256 && !hasControlCharacter(text);
}

bool isEndpoint(std::string_view text)
{
    return parseEndpoint(text).has_value();
}

NotePlace placeOf(const toml::source_region &source)
{
    return {static_cast<unsigned>(source.begin.line), static_cast<unsigned>(source.begin.column)};
}

} // namespace

const TextRule nameRule{&isName, "a name of 1 to 64 letters, digits, '.', '_' and '-'"};
const TextRule modelRule{&isModel,
                         "a model of 1 to 128 letters, digits, '.', '_', '-', ':' and '/'"};
const TextRule pathRule{&isPath, "a path that starts with '/', of at most 200 letters, digits, "
                                 "'/', '.', '_', '-' and '~'"};
const TextRule digestRule{&isDigest, "a SHA-256 digest of 64 lower-case hex digits"};
const TextRule titleRule{&isTitle, "one line of at most 200 bytes"};
const TextRule argumentRule{&isArgument, "one line of 1 to 256 bytes"};
const TextRule endpointRule{&isEndpoint, "an address a.b.c.d:port"};

void NoteReading::addFault(NoteFaultKind kind, const toml::source_region &source,
                           const std::string &item, const std::string &expected)
{
    const NotePlace place = placeOf(source);
    faults.push_back({kind, place.line, place.column, item, expected});
}

NoteTable::NoteTable(const toml::table &table, std::string item, NoteReading &reading)
    : table_(table)
    , item_(std::move(item))
    , reading_(reading)
{}

std::string NoteTable::itemOf(std::string_view key) const
{
    return item_.empty() ? std::string(key) : item_ + '.' + std::string(key);
}

void NoteTable::addFault(NoteFaultKind kind, const toml::node &node, std::string_view key,
                         const std::string &expected)
{
    reading_.addFault(kind, node.source(), itemOf(key), expected);
}

void NoteTable::markPlace()
{
    reading_.places[item_] = placeOf(table_.source());
}

const toml::node *NoteTable::find(std::string_view key, Need need, const char *expected)
{
    asked_.emplace(key);
    const toml::node *node = table_.get(key);
    if (node != nullptr)
        reading_.places[itemOf(key)] = placeOf(node->source());
    else if (need == Need::Required)
        reading_.addFault(NoteFaultKind::Missing, table_.source(), itemOf(key), expected);
    return node;
}

std::optional<std::string> NoteTable::text(std::string_view key, const TextRule &rule, Need need)
{
    const toml::node *node = find(key, need, rule.expected);
    if (node == nullptr)
        return std::nullopt;
    const auto *value = node->as_string();
    if (value == nullptr) {
        addFault(NoteFaultKind::WrongType, *node, key, rule.expected);
        return std::nullopt;
    }
    if (!rule.isValid(value->get())) {
        addFault(NoteFaultKind::OutOfRange, *node, key, rule.expected);
        return std::nullopt;
    }
    return value->get();
}

std::optional<std::int64_t> NoteTable::integer(std::string_view key,
                                               const NumberRule<std::int64_t> &rule, Need need)
{
    const toml::node *node = find(key, need, rule.expected);
    if (node == nullptr)
        return std::nullopt;
    const auto *value = node->as_integer();
    if (value == nullptr) {
        addFault(NoteFaultKind::WrongType, *node, key, rule.expected);
        return std::nullopt;
    }
    if (value->get() < rule.least || value->get() > rule.greatest) {
        addFault(NoteFaultKind::OutOfRange, *node, key, rule.expected);
        return std::nullopt;
    }
    return value->get();
}

std::optional<double> NoteTable::number(std::string_view key, const NumberRule<double> &rule,
                                        Need need)
{
    const toml::node *node = find(key, need, rule.expected);
    if (node == nullptr)
        return std::nullopt;
    // Integers are numbers too: "share = 2".
    const std::optional<double> value =
            node->is_number() ? node->value<double>() : std::optional<double>();
    if (!value) {
        addFault(NoteFaultKind::WrongType, *node, key, rule.expected);
        return std::nullopt;
    }
    // Written so that "nan" is out of range.
    if (!(*value >= rule.least && *value <= rule.greatest)) {
        addFault(NoteFaultKind::OutOfRange, *node, key, rule.expected);
        return std::nullopt;
    }
    return value;
}

std::optional<bool> NoteTable::boolean(std::string_view key)
{
    const toml::node *node = find(key, Need::Optional, "");
    if (node == nullptr)
        return std::nullopt;
    const auto *value = node->as_boolean();
    if (value == nullptr) {
        addFault(NoteFaultKind::WrongType, *node, key, "true or false");
        return std::nullopt;
    }
    return value->get();
}

std::optional<std::vector<std::string>> NoteTable::texts(std::string_view key, const TextRule &rule,
                                                         Need need)
{
    const std::string expected = std::string("a list; each entry ") + rule.expected;
    const toml::node *node = find(key, need, expected.c_str());
    if (node == nullptr)
        return std::nullopt;
    const toml::array *list = node->as_array();
    if (list == nullptr) {
        addFault(NoteFaultKind::WrongType, *node, key, expected);
        return std::nullopt;
    }
    std::vector<std::string> values;
    std::set<std::string> seen;
    for (const toml::node &entry : *list) {
        const auto *value = entry.as_string();
        if (value == nullptr)
            addFault(NoteFaultKind::WrongType, entry, key, rule.expected);
        else if (!rule.isValid(value->get()))
            addFault(NoteFaultKind::OutOfRange, entry, key, rule.expected);
        else if (!seen.insert(value->get()).second)
            addFault(NoteFaultKind::Duplicate, entry, key, "each entry only once");
        else
            values.push_back(value->get());
    }
    return values;
}

void NoteTable::table(std::string_view key, const std::function<void(NoteTable &)> &read)
{
    const toml::node *node = find(key, Need::Optional, "");
    if (node == nullptr)
        return;
    const toml::table *inner = node->as_table();
    if (inner == nullptr) {
        addFault(NoteFaultKind::WrongType, *node, key, "a table");
        return;
    }
    NoteTable reader(*inner, itemOf(key), reading_);
    read(reader);
    reader.finish();
}

void NoteTable::tables(std::string_view key, const std::function<void(NoteTable &)> &read)
{
    const toml::node *node = find(key, Need::Optional, "");
    if (node == nullptr)
        return;
    const toml::array *list = node->as_array();
    if (list == nullptr) {
        addFault(NoteFaultKind::WrongType, *node, key, "a list of tables");
        return;
    }
    for (const toml::node &entry : *list) {
        const toml::table *inner = entry.as_table();
        if (inner == nullptr) {
            addFault(NoteFaultKind::WrongType, entry, key, "a table");
            continue;
        }
        NoteTable reader(*inner, itemOf(key), reading_);
        read(reader);
        reader.finish();
    }
}

void NoteTable::finish()
{
    for (const auto &[key, node] : table_) {
        if (asked_.count(key.str()) == 0)
            reading_.addFault(NoteFaultKind::UnknownName, key.source(), itemOf(key.str()),
                              "only known names here");
    }
}

} // namespace lovagecourse
