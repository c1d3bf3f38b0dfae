#include "configuration/NoteTableReader.h"

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

/// Returns whether the text has 1 to maxSize bytes, all of them letters, digits or in extra.
bool consistsOf(std::string_view text, std::size_t maxSize, std::string_view extra)
{
    const bool isSizeValid = !text.empty() && text.size() <= maxSize;
    return isSizeValid && std::all_of(text.begin(), text.end(), [extra](char c) {
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

NotePosition positionOf(const toml::source_region &source)
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

void NoteParseContext::addFault(NoteFaultKind kind, const toml::source_region &source,
                                const std::string &item, const std::string &expected)
{
    const NotePosition position = positionOf(source);
    faults.push_back({kind, position.line, position.column, item, expected});
}

NoteTableReader::NoteTableReader(const toml::table &table, std::string item,
                                 NoteParseContext &context)
    : table_(table)
    , item_(std::move(item))
    , context_(context)
{}

std::string NoteTableReader::itemPath(std::string_view key) const
{
    return item_.empty() ? std::string(key) : item_ + '.' + std::string(key);
}

void NoteTableReader::addFault(NoteFaultKind kind, const toml::node &node, std::string_view key,
                               const std::string &expected)
{
    context_.addFault(kind, node.source(), itemPath(key), expected);
}

void NoteTableReader::recordPosition()
{
    context_.positions[item_] = positionOf(table_.source());
}

const toml::node *NoteTableReader::find(std::string_view key, Presence presence,
                                        const char *expected)
{
    requestedKeys_.emplace(key);
    const toml::node *node = table_.get(key);
    if (node != nullptr)
        context_.positions[itemPath(key)] = positionOf(node->source());
    else if (presence == Presence::Required)
        context_.addFault(NoteFaultKind::Missing, table_.source(), itemPath(key), expected);
    return node;
}

std::optional<std::string> NoteTableReader::text(std::string_view key, const TextRule &rule,
                                                 Presence presence)
{
    const toml::node *node = find(key, presence, rule.expected);
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

std::optional<std::int64_t> NoteTableReader::integer(std::string_view key,
                                                     const NumberRule<std::int64_t> &rule,
                                                     Presence presence)
{
    const toml::node *node = find(key, presence, rule.expected);
    if (node == nullptr)
        return std::nullopt;
    const auto *value = node->as_integer();
    if (value == nullptr) {
        addFault(NoteFaultKind::WrongType, *node, key, rule.expected);
        return std::nullopt;
    }
    if (value->get() < rule.minimum || value->get() > rule.maximum) {
        addFault(NoteFaultKind::OutOfRange, *node, key, rule.expected);
        return std::nullopt;
    }
    return value->get();
}

std::optional<double> NoteTableReader::number(std::string_view key, const NumberRule<double> &rule,
                                              Presence presence)
{
    const toml::node *node = find(key, presence, rule.expected);
    if (node == nullptr)
        return std::nullopt;
    // TOML integers are accepted too, such as "share = 2".
    const std::optional<double> value =
            node->is_number() ? node->value<double>() : std::optional<double>();
    if (!value) {
        addFault(NoteFaultKind::WrongType, *node, key, rule.expected);
        return std::nullopt;
    }
    // This form of the comparison also rejects "nan".
    if (!(*value >= rule.minimum && *value <= rule.maximum)) {
        addFault(NoteFaultKind::OutOfRange, *node, key, rule.expected);
        return std::nullopt;
    }
    return value;
}

std::optional<bool> NoteTableReader::boolean(std::string_view key)
{
    const toml::node *node = find(key, Presence::Optional, "");
    if (node == nullptr)
        return std::nullopt;
    const auto *value = node->as_boolean();
    if (value == nullptr) {
        addFault(NoteFaultKind::WrongType, *node, key, "true or false");
        return std::nullopt;
    }
    return value->get();
}

std::optional<std::vector<std::string>>
NoteTableReader::texts(std::string_view key, const TextRule &rule, Presence presence)
{
    const std::string expected = std::string("a list; each entry ") + rule.expected;
    const toml::node *node = find(key, presence, expected.c_str());
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

void NoteTableReader::table(std::string_view key,
                            const std::function<void(NoteTableReader &)> &read)
{
    const toml::node *node = find(key, Presence::Optional, "");
    if (node == nullptr)
        return;
    const toml::table *inner = node->as_table();
    if (inner == nullptr) {
        addFault(NoteFaultKind::WrongType, *node, key, "a table");
        return;
    }
    NoteTableReader reader(*inner, itemPath(key), context_);
    read(reader);
    reader.reportUnknownKeys();
}

void NoteTableReader::tables(std::string_view key,
                             const std::function<void(NoteTableReader &)> &read)
{
    const toml::node *node = find(key, Presence::Optional, "");
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
        NoteTableReader reader(*inner, itemPath(key), context_);
        read(reader);
        reader.reportUnknownKeys();
    }
}

void NoteTableReader::reportUnknownKeys()
{
    for (const auto &[key, node] : table_) {
        if (requestedKeys_.count(key.str()) == 0)
            context_.addFault(NoteFaultKind::UnknownKey, key.source(), itemPath(key.str()),
                              "only known names here");
    }
}

} // namespace lovagecourse
