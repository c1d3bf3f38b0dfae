#pragma once

#include "configuration/ReleaseNote.h"

#include <toml++/toml.h>

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecourse {

/// Faults and places that were found while a note is read.
struct NoteReading
{
    std::vector<NoteFault> faults;
    std::map<std::string, NotePlace> places;

    void addFault(NoteFaultKind kind, const toml::source_region &source, const std::string &item,
                  const std::string &expected);
};

/// Whether a field may be left out.
enum class Need : std::uint8_t { Required, Optional };

/// Form of a text value.
struct TextRule
{
    bool (*isValid)(std::string_view text);
    const char *expected;
};

/// Range of a number.
template <class Value>
struct NumberRule
{
    Value least;
    Value greatest;
    const char *expected;
};

extern const TextRule nameRule;
extern const TextRule modelRule;
extern const TextRule pathRule;
extern const TextRule digestRule;
extern const TextRule titleRule;
extern const TextRule argumentRule;
extern const TextRule endpointRule;

/// Reads the fields of one TOML table; each fault goes to the reading, and fields that were never
/// asked for are faults too.
class NoteTable
{
public:
    /// The table and the reading must outlive this object.
    NoteTable(const toml::table &table, std::string item, NoteReading &reading);

    std::optional<std::string> text(std::string_view key, const TextRule &rule, Need need);
    std::optional<std::int64_t> integer(std::string_view key, const NumberRule<std::int64_t> &rule,
                                        Need need);
    std::optional<double> number(std::string_view key, const NumberRule<double> &rule, Need need);
    std::optional<bool> boolean(std::string_view key);
    /// List of different texts.
    std::optional<std::vector<std::string>> texts(std::string_view key, const TextRule &rule,
                                                  Need need);
    /// Calls the function for a table in a field.
    void table(std::string_view key, const std::function<void(NoteTable &)> &read);
    /// Calls the function for each table of a list.
    void tables(std::string_view key, const std::function<void(NoteTable &)> &read);
    /// Reports the fields that were not asked for.
    void finish();

    /// Replaces the item's name, once the name in the table is known.
    void setItem(std::string item) { item_ = std::move(item); }
    const std::string &item() const { return item_; }
    const toml::source_region &source() const { return table_.source(); }
    NoteReading &reading() { return reading_; }
    /// Fields that the table holds.
    std::size_t size() const { return table_.size(); }
    /// Remembers where the table stands in the text.
    void markPlace();

private:
    /// The field's node after noting that it was asked for; null when it is missing.
    const toml::node *find(std::string_view key, Need need, const char *expected);
    std::string itemOf(std::string_view key) const;
    void addFault(NoteFaultKind kind, const toml::node &node, std::string_view key,
                  const std::string &expected);

    const toml::table &table_;
    std::string item_;
    NoteReading &reading_;
    std::set<std::string, std::less<>> asked_;
};

} // namespace lovagecourse
