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

/// Faults and item positions collected while a note is parsed.
struct NoteParseContext
{
    std::vector<NoteFault> faults;
    /// Positions by item path.
    std::map<std::string, NotePosition> positions;

    void addFault(NoteFaultKind kind, const toml::source_region &source, const std::string &item,
                  const std::string &expected);
};

/// Whether a field may be missing.
enum class Presence : std::uint8_t { Required, Optional };

/// Predicate for a text value, and the expectation that a fault reports.
struct TextRule
{
    bool (*isValid)(std::string_view text);
    const char *expected;
};

/// Inclusive range of a number, and the expectation that a fault reports.
template <class Value>
struct NumberRule
{
    Value minimum;
    Value maximum;
    const char *expected;
};

extern const TextRule nameRule;
extern const TextRule modelRule;
extern const TextRule pathRule;
extern const TextRule digestRule;
extern const TextRule titleRule;
extern const TextRule argumentRule;
extern const TextRule endpointRule;

/// Reads and validates the fields of one TOML table; adds each fault to the parse context. Getters
/// return no value for a field that is missing or invalid.
class NoteTableReader
{
public:
    /// The table and the context must outlive this object.
    NoteTableReader(const toml::table &table, std::string item, NoteParseContext &context);

    std::optional<std::string> text(std::string_view key, const TextRule &rule, Presence presence);
    std::optional<std::int64_t> integer(std::string_view key, const NumberRule<std::int64_t> &rule,
                                        Presence presence);
    std::optional<double> number(std::string_view key, const NumberRule<double> &rule,
                                 Presence presence);
    std::optional<bool> boolean(std::string_view key);
    /// Reads a list of texts without duplicates; faulty entries are left out.
    std::optional<std::vector<std::string>> texts(std::string_view key, const TextRule &rule,
                                                  Presence presence);
    /// Calls the function with a reader of the table in a field, if there is one.
    void table(std::string_view key, const std::function<void(NoteTableReader &)> &read);
    /// Calls the function with a reader of each table in a list.
    void tables(std::string_view key, const std::function<void(NoteTableReader &)> &read);
    /// Adds a fault for each key that no getter requested.
    void reportUnknownKeys();

    /// Sets the item path, such as "added.accounts.retailer", once the table's name is read.
    void setItem(std::string item) { item_ = std::move(item); }
    const std::string &item() const { return item_; }
    const toml::source_region &source() const { return table_.source(); }
    NoteParseContext &context() { return context_; }
    /// Number of fields in the table.
    std::size_t size() const { return table_.size(); }
    /// Stores the table's position under its item path.
    void recordPosition();

private:
    /// Marks the key as requested and returns its node; null when it is missing, which is a fault
    /// for a required field.
    const toml::node *find(std::string_view key, Presence presence, const char *expected);
    std::string itemPath(std::string_view key) const;
    void addFault(NoteFaultKind kind, const toml::node &node, std::string_view key,
                  const std::string &expected);

    const toml::table &table_;
    std::string item_;
    NoteParseContext &context_;
    std::set<std::string, std::less<>> requestedKeys_;
};

} // namespace lovagecourse
