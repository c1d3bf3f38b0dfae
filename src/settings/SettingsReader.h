#pragma once

#include "settings/DaemonSettings.h"

#include <toml++/toml.h>

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <variant>

namespace lovagecourse {

/// Enum value and its name in a settings file.
template <class Value>
struct EnumName
{
    std::string_view name;
    Value value;
};

using ParsedFile = std::variant<toml::table, SettingsFault>;

/// Parses a TOML file. Returns its root table, or the fault that made it unreadable.
ParsedFile parseSettingsFile(const std::string &file);

/// Names of the log levels.
inline constexpr std::array<EnumName<LogLevel>, 4> logLevelNames{{{"debug", LogLevel::Debug},
                                                                  {"info", LogLevel::Info},
                                                                  {"warning", LogLevel::Warning},
                                                                  {"error", LogLevel::Error}}};

/// Reads and validates the settings of one TOML table. Faults are appended to a list; a setting
/// with a fault leaves its value unchanged. Call reportUnknownKeys() after all reads.
class SettingsReader
{
public:
    /// section: name of the table, empty for the root. table: null if the section is absent.
    SettingsReader(const toml::table *table, std::string section, std::string file,
                   std::vector<SettingsFault> &faults);

    /// Reads a required string of at least minBytes bytes (minBytes >= 1).
    void readString(std::string_view name, std::string &value, std::size_t minBytes = 1);
    /// Reads a required URL with the scheme http.
    void readUrl(std::string_view name, std::string &value);
    /// Reads a required "a.b.c.d:port".
    void readEndpoint(std::string_view name, Endpoint &value);
    /// Reads an optional array of "a.b.c.d:port"; appends the valid ones.
    void readEndpoints(std::string_view name, std::vector<Endpoint> &values);
    /// Reads an optional integer from low to high. Returns true if it is present and valid.
    bool readInteger(std::string_view name, std::int64_t &value, std::int64_t low,
                     std::int64_t high);
    /// Reads an optional integer or floating-point number from low to high.
    void readNumber(std::string_view name, double &value, double low, double high);
    /// Reads an optional boolean.
    void readBool(std::string_view name, bool &value);
    /// Reads an optional enum value by its name.
    template <class Value>
    void readEnum(std::string_view name, Value &value, std::span<const EnumName<Value>> names);
    /// Returns an optional sub-table; null if it is absent or no table.
    const toml::table *readTable(std::string_view name);
    /// Reports the keys of the table that no call has read.
    void reportUnknownKeys();
    /// Reports a fault at a position, or for the whole file if position is null.
    void report(SettingsFaultKind kind, std::string_view name, const toml::source_region *position,
                std::string expected);

private:
    const toml::node *find(std::string_view name);
    const toml::node *findRequired(std::string_view name, const std::string &expected);
    std::optional<std::string> asString(const toml::node *node, std::string_view name,
                                        const std::string &expected);

    const toml::table *table_;
    std::string section_;
    std::string file_;
    std::vector<SettingsFault> &faults_;
    std::set<std::string, std::less<>> requestedKeys_;
};

template <class Value>
void SettingsReader::readEnum(std::string_view name, Value &value,
                              std::span<const EnumName<Value>> names)
{
    std::string expected = "one of";
    for (const EnumName<Value> &known : names)
        expected.append(" \"").append(known.name).append("\"");
    const toml::node *node = find(name);
    const std::optional<std::string> text = asString(node, name, expected);
    if (!text)
        return;
    for (const EnumName<Value> &known : names) {
        if (known.name == *text) {
            value = known.value;
            return;
        }
    }
    report(SettingsFaultKind::OutOfRange, name, &node->source(), expected);
}

} // namespace lovagecourse
