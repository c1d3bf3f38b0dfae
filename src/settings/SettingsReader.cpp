#include "settings/SettingsReader.h"

#include <fstream>
#include <sstream>

namespace lovagecourse {

namespace {

constexpr std::string_view urlScheme = "http://";
const std::string expectedEndpoint = "an address \"a.b.c.d:port\" with a port from 1 to 65535";

} // namespace

ParsedFile parseSettingsFile(const std::string &file)
{
    SettingsFault fault;
    fault.file = file;
    std::ifstream input(file, std::ios::binary);
    std::ostringstream text;
    if (!input || !(text << input.rdbuf())) {
        fault.kind = SettingsFaultKind::Unreadable;
        fault.expected = "a readable file that is not empty";
        return fault;
    }
    toml::parse_result parsed = toml::parse(text.str());
    if (parsed)
        return std::move(parsed).table();
    fault.kind = SettingsFaultKind::Syntax;
    fault.line = parsed.error().source().begin.line;
    fault.column = parsed.error().source().begin.column;
    fault.expected = "valid TOML: " + std::string(parsed.error().description());
    return fault;
}

SettingsReader::SettingsReader(const toml::table *table, std::string section, std::string file,
                               std::vector<SettingsFault> &faults)
    : table_(table)
    , section_(std::move(section))
    , file_(std::move(file))
    , faults_(faults)
{}

void SettingsReader::readString(std::string_view name, std::string &value, std::size_t minBytes)
{
    const std::string expected =
            minBytes > 1 ? "a string of at least " + std::to_string(minBytes) + " bytes"
                         : "a string that is not empty";
    const toml::node *node = findRequired(name, expected);
    const std::optional<std::string> text = asString(node, name, expected);
    if (!text)
        return;
    if (text->size() < minBytes)
        return report(SettingsFaultKind::OutOfRange, name, &node->source(), expected);
    value = *text;
}

void SettingsReader::readUrl(std::string_view name, std::string &value)
{
    const std::string expected = "a URL that starts with \"http://\"";
    const toml::node *node = findRequired(name, expected);
    const std::optional<std::string> text = asString(node, name, expected);
    if (!text)
        return;
    const bool valid = text->starts_with(urlScheme) && text->size() > urlScheme.size();
    if (!valid)
        return report(SettingsFaultKind::OutOfRange, name, &node->source(), expected);
    value = *text;
}

void SettingsReader::readEndpoint(std::string_view name, Endpoint &value)
{
    const toml::node *node = findRequired(name, expectedEndpoint);
    const std::optional<std::string> text = asString(node, name, expectedEndpoint);
    if (!text)
        return;
    const std::optional<Endpoint> endpoint = parseEndpoint(*text);
    if (!endpoint)
        return report(SettingsFaultKind::OutOfRange, name, &node->source(), expectedEndpoint);
    value = *endpoint;
}

void SettingsReader::readEndpoints(std::string_view name, std::vector<Endpoint> &values)
{
    const toml::node *node = find(name);
    if (!node)
        return;
    const toml::array *array = node->as_array();
    if (!array)
        return report(SettingsFaultKind::WrongType, name, &node->source(),
                      "an array of addresses \"a.b.c.d:port\"");
    for (const toml::node &element : *array) {
        const std::optional<std::string> text = asString(&element, name, expectedEndpoint);
        if (!text)
            continue;
        const std::optional<Endpoint> endpoint = parseEndpoint(*text);
        if (endpoint)
            values.push_back(*endpoint);
        else
            report(SettingsFaultKind::OutOfRange, name, &element.source(), expectedEndpoint);
    }
}

bool SettingsReader::readInteger(std::string_view name, std::int64_t &value, std::int64_t low,
                                 std::int64_t high)
{
    const toml::node *node = find(name);
    if (!node)
        return false;
    const std::string expected =
            "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    const toml::value<std::int64_t> *number = node->as_integer();
    if (!number) {
        report(SettingsFaultKind::WrongType, name, &node->source(), expected);
        return false;
    }
    if (number->get() < low || number->get() > high) {
        report(SettingsFaultKind::OutOfRange, name, &node->source(), expected);
        return false;
    }
    value = number->get();
    return true;
}

void SettingsReader::readNumber(std::string_view name, double &value, double low, double high)
{
    const toml::node *node = find(name);
    if (!node)
        return;
    const std::optional<double> number = node->value<double>();
    // The comparison is false for NaN, which TOML allows.
    const bool isInRange = number && *number >= low && *number <= high;
    if (!isInRange || !node->is_number())
        return report(number ? SettingsFaultKind::OutOfRange : SettingsFaultKind::WrongType, name,
                      &node->source(),
                      "a number from " + std::to_string(low) + " to " + std::to_string(high));
    value = *number;
}

void SettingsReader::readBool(std::string_view name, bool &value)
{
    const toml::node *node = find(name);
    if (!node)
        return;
    const toml::value<bool> *flag = node->as_boolean();
    if (!flag)
        return report(SettingsFaultKind::WrongType, name, &node->source(), "true or false");
    value = flag->get();
}

const toml::table *SettingsReader::readTable(std::string_view name)
{
    const toml::node *node = find(name);
    if (node && !node->as_table())
        report(SettingsFaultKind::WrongType, name, &node->source(), "a table");
    return node ? node->as_table() : nullptr;
}

void SettingsReader::reportUnknownKeys()
{
    if (!table_)
        return;
    std::string expected = "one of the keys";
    for (const std::string &name : requestedKeys_)
        expected.append(" ").append(name);
    for (const auto &[key, node] : *table_)
        if (!requestedKeys_.contains(key.str()))
            report(SettingsFaultKind::UnknownKey, key.str(), &key.source(), expected);
}

void SettingsReader::report(SettingsFaultKind kind, std::string_view name,
                            const toml::source_region *position, std::string expected)
{
    SettingsFault fault;
    fault.kind = kind;
    fault.file = file_;
    if (position) {
        fault.line = position->begin.line;
        fault.column = position->begin.column;
    }
    fault.setting = section_.empty() ? std::string(name) : section_ + '.' + std::string(name);
    fault.expected = std::move(expected);
    faults_.push_back(std::move(fault));
}

const toml::node *SettingsReader::find(std::string_view name)
{
    requestedKeys_.emplace(name);
    return table_ ? table_->get(name) : nullptr;
}

const toml::node *SettingsReader::findRequired(std::string_view name, const std::string &expected)
{
    const toml::node *node = find(name);
    if (!node)
        report(SettingsFaultKind::Missing, name, nullptr, expected);
    return node;
}

std::optional<std::string> SettingsReader::asString(const toml::node *node, std::string_view name,
                                                    const std::string &expected)
{
    if (!node)
        return std::nullopt;
    const toml::value<std::string> *text = node->as_string();
    if (!text) {
        report(SettingsFaultKind::WrongType, name, &node->source(), expected);
        return std::nullopt;
    }
    return text->get();
}

} // namespace lovagecourse
