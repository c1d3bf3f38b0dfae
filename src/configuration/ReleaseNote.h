#pragma once

#include "configuration/ConfigurationState.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecourse {

/// Kind of error in a release note.
enum class NoteFaultKind : std::uint8_t {
    Syntax,
    UnknownKey,
    Missing,
    WrongType,
    OutOfRange,
    AlreadyExists,
    DoesNotExist,
    StillUsed,
    Duplicate
};

/// One error in a release note. Line and column count from 1; they are 0 when the position in the
/// text is not known.
struct NoteFault
{
    NoteFaultKind kind = NoteFaultKind::Syntax;
    unsigned line = 0;
    unsigned column = 0;
    /// Path of the faulty item, such as "added.accounts.retailer.share".
    std::string item;
    /// What a valid note has there.
    std::string expected;
};

/// Formats a fault as "line:column: item: expected ...".
std::string toString(const NoteFault &fault);

/// Position in a note's text; line and column count from 1 and are 0 when not known.
struct NotePosition
{
    unsigned line = 0;
    unsigned column = 0;
};

/// Change to one account; fields that are not set keep their values.
struct AccountChange
{
    AccountId name;
    std::optional<Share> share;
    std::optional<std::vector<std::string>> apiKeyDigests;
};

/// Change to one service; fields that are not set keep their values.
struct ServiceChange
{
    ServiceId name;
    std::optional<std::uint32_t> queueLimit;
    std::optional<milliseconds> defaultDeadline;
    std::optional<Work> defaultCost;
    std::optional<Work> longAbove;
};

/// Change to one server; fields that are not set keep their values.
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

/// Operators' change to the configuration, written in TOML and applied as a whole or not at all.
struct ReleaseNote
{
    /// Number of the note that must be the newest when this one is applied; 0 for the first note.
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
    /// Orders to servers; their fencing numbers are set when the note is applied.
    std::vector<ServerOrder> orders;
    /// Positions of the items in the text, by paths such as "added.accounts.retailer.share".
    std::map<std::string, NotePosition> positions;
};

using ReleaseNoteResult = std::variant<ReleaseNote, std::vector<NoteFault>>;

/// Parses a note from TOML; returns every fault that can be found without the state.
ReleaseNoteResult parseReleaseNote(std::string_view toml);
/// Returns every conflict of the note's changes with the state; empty when the note can be applied.
/// Does not check follows.
std::vector<NoteFault> checkReleaseNote(const ReleaseNote &note, const ConfigurationState &state);

} // namespace lovagecourse
