#pragma once

#include "configuration/ConfigurationState.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecourse {

/// What is wrong with a release note.
enum class NoteFaultKind : std::uint8_t {
    Syntax,
    UnknownName,
    Missing,
    WrongType,
    OutOfRange,
    AlreadyExists,
    DoesNotExist,
    StillUsed,
    Duplicate
};

/// One fault; line and column count from 1, 0 when the fault has no place in the text.
struct NoteFault
{
    NoteFaultKind kind = NoteFaultKind::Syntax;
    unsigned line = 0;
    unsigned column = 0;
    /// Item, such as "added.accounts.retailer.share".
    std::string item;
    std::string expected;
};

/// "line:column: item: expected ...".
std::string toString(const NoteFault &fault);

/// Place in a note's text; both count from 1.
struct NotePlace
{
    unsigned line = 0;
    unsigned column = 0;
};

/// Change to one item; only the fields that are set change.
struct AccountChange
{
    AccountId name;
    std::optional<Share> share;
    std::optional<std::vector<std::string>> keyDigests;
};

struct ServiceChange
{
    ServiceId name;
    std::optional<std::uint32_t> queueLimit;
    std::optional<milliseconds> defaultDeadline;
    std::optional<Work> defaultCost;
    std::optional<Work> longAbove;
};

struct ServerChange
{
    ServerId name;
    std::optional<Endpoint> address;
    std::optional<Endpoint> agent;
    std::optional<std::vector<ServiceId>> services;
    std::optional<std::vector<ModelId>> models;
    std::optional<bool> checksFencing;
    std::optional<bool> leaving;
    std::optional<std::uint32_t> minLimit;
    std::optional<std::uint32_t> maxLimit;
};

/// Operators' change of the configuration.
struct ReleaseNote
{
    /// Number of the note that this one follows.
    NoteNumber follows;
    std::string title;
    std::vector<ClientAccount> addedAccounts;
    std::vector<Service> addedServices;
    std::vector<BackendServer> addedServers;
    std::vector<AccountChange> changedAccounts;
    std::vector<ServiceChange> changedServices;
    std::vector<ServerChange> changedServers;
    std::vector<AccountId> withdrawnAccounts;
    std::vector<ServiceId> withdrawnServices;
    std::vector<ServerId> withdrawnServers;
    /// Their fencing numbers are set when the note is folded.
    std::vector<ServerOrder> orders;
    /// Where the items stand in the text, by item such as "added.accounts.retailer.share".
    std::map<std::string, NotePlace> places;
};

using ReleaseNoteResult = std::variant<ReleaseNote, std::vector<NoteFault>>;

/// Reads a note from TOML; reports every fault in its form.
ReleaseNoteResult parseReleaseNote(std::string_view toml);
/// Every fault of a note's content against a state; empty when it can be taken whole.
std::vector<NoteFault> checkReleaseNote(const ReleaseNote &note, const ConfigurationState &state);

} // namespace lovagecourse
