#pragma once

#include "checking/ConfigurationField.h"
#include "checking/Finding.h"
#include "checking/ListedConfiguration.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecourse {

enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

/// Kinds of entries that are compared. Limits are the fields outside all lists.
enum class EntryKind : std::uint8_t { Limits, Route, Service, Account, Key };

/// Field with its old and its new value; one of them is empty for an entry that was added or
/// removed.
struct FieldChange
{
    ConfigurationField field = ConfigurationField::Version;
    std::optional<std::string> before;
    std::optional<std::string> after;
};

/// Entry that differs between two configurations.
struct Difference
{
    ChangeKind change = ChangeKind::Changed;
    EntryKind entry = EntryKind::Limits;
    /// Name of the route, service or account, or the hash of the key; empty for limits. The second
    /// and further routes of one name have their number added, as in "name#2".
    std::string id;
    /// For a key, its account.
    std::vector<FieldChange> fields;
};

/// Name of the kind for programs, such as "added".
std::string_view toName(ChangeKind kind);
/// Name of the kind for programs, such as "route".
std::string_view toName(EntryKind kind);

/// Compares the entries that routers use: by kind, then by id. The order of entries is not
/// compared, and of services, accounts and keys that are listed twice only the last one.
std::vector<Difference> compareConfigurations(const ListedConfiguration &before,
                                              const ListedConfiguration &after);
/// Finds a version that routers ignore because it is not above that in force.
std::vector<Finding> checkVersion(const ListedConfiguration &inForce,
                                  const ListedConfiguration &next);

} // namespace lovagecourse
