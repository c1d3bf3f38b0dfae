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

/// Word of a settings file and the value that it stands for.
template <class Value>
struct SettingsWord
{
    std::string_view word;
    Value value;
};

using ParsedFile = std::variant<toml::table, SettingsFault>;

/// Root table of a TOML file, or why it can't be read.
ParsedFile parseSettingsFile(const std::string &file);

/// Words for the severity of log lines.
inline constexpr std::array<SettingsWord<LogLevel>, 4> logLevels{{{"debug", LogLevel::Debug},
                                                                  {"info", LogLevel::Info},
                                                                  {"warning", LogLevel::Warning},
                                                                  {"error", LogLevel::Error}}};

/// Reads one TOML table and collects its faults; reportUnknown() must come last.
class SettingsReader
{
public:
    /// The section is empty for the root; the table may be null when the section is absent.
    SettingsReader(const toml::table *table, std::string section, std::string file,
                   std::vector<SettingsFault> &faults);

    /// A string of at least the given number of bytes, at least 1.
    void readText(std::string_view name, std::string &value, std::size_t minBytes = 1);
    /// A base URL of the scheme http.
    void readUrl(std::string_view name, std::string &value);
    void readEndpoint(std::string_view name, Endpoint &value);
    /// Optional list of "ip:port".
    void readEndpoints(std::string_view name, std::vector<Endpoint> &values);
    /// Optional; returns whether it is there and sound, and leaves the value alone otherwise.
    bool readInteger(std::string_view name, std::int64_t &value, std::int64_t low,
                     std::int64_t high);
    /// Optional number that may have a fraction.
    void readNumber(std::string_view name, double &value, double low, double high);
    void readFlag(std::string_view name, bool &value);
    /// Optional word out of a list.
    template <class Value>
    void readWord(std::string_view name, Value &value, std::span<const SettingsWord<Value>> words);
    /// Optional sub-table; null when it is absent.
    const toml::table *readTable(std::string_view name);
    /// Reports the names that no call has asked for.
    void reportUnknown();
    /// Reports a fault at this node, or for the whole file when it is null.
    void report(SettingsFaultKind kind, std::string_view name, const toml::source_region *place,
                std::string expected);

private:
    const toml::node *find(std::string_view name);
    const toml::node *findRequired(std::string_view name, const std::string &expected);
    std::optional<std::string> takeText(const toml::node *node, std::string_view name,
                                        const std::string &expected);

    const toml::table *table_;
    std::string section_;
    std::string file_;
    std::vector<SettingsFault> &faults_;
    std::set<std::string, std::less<>> known_;
};

template <class Value>
void SettingsReader::readWord(std::string_view name, Value &value,
                              std::span<const SettingsWord<Value>> words)
{
    std::string expected = "one of";
    for (const SettingsWord<Value> &word : words)
        expected.append(" \"").append(word.word).append("\"");
    const toml::node *node = find(name);
    const std::optional<std::string> text = takeText(node, name, expected);
    if (!text)
        return;
    for (const SettingsWord<Value> &word : words) {
        if (word.word == *text) {
            value = word.value;
            return;
        }
    }
    report(SettingsFaultKind::OutOfRange, name, &node->source(), expected);
}

} // namespace lovagecourse
