#pragma once

#include "claims/ClaimFold.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecourse {

/// A run of a server's agent started; the offset of its record is the run's fencing number.
struct AgentStart
{
    ServerId server;
    DaemonId agent;
    Incarnation incarnation;
};

/// An agent asks for the right to run the request of a key.
struct ClaimRequested
{
    AccountKey key;
    ClaimId claim;
    std::string requestDigest;
    ServerId server;
    Incarnation incarnation;
    FencingNumber fencing;
    /// Time that the request had left when the claim was made; it never runs later.
    milliseconds valid{0};
};

/// The claim's request was not sent and will not be sent.
struct ClaimVoid
{
    AccountKey key;
    ClaimId claim;
};

/// The claim's request was sent.
struct ClaimOutcome
{
    AccountKey key;
    ClaimId claim;
    /// Empty when the agent will not learn the answer.
    std::optional<RecordedAnswer> answer;
};

/// An operator asked the server what became of an unsettled key.
struct ClaimSettlement
{
    AccountKey key;
    bool ran = false;
    /// Claim that the operator asked about; empty for whichever stands.
    ClaimId claim;
};

/// An agent is about to give its server the orders of a note. Stored before they are sent, so that
/// later runs of the agent do not give older ones.
struct OrderIntent
{
    ServerId server;
    Incarnation incarnation;
    FencingNumber order;
};

using ClaimEntry = std::variant<AgentStart, ClaimRequested, ClaimVoid, ClaimOutcome,
                                ClaimSettlement, OrderIntent>;

/// Entries of one record of stream "claims".
struct DecodedClaimEntries
{
    std::vector<ClaimEntry> entries;
    /// Entries that can't be read; 1 when the record as a whole can't.
    std::size_t malformed = 0;
};

/// Body of a record that carries the entries. Takes any bytes in its strings.
std::string encodeClaimEntries(const std::vector<ClaimEntry> &entries);
DecodedClaimEntries decodeClaimEntries(std::string_view body);

} // namespace lovagecourse
