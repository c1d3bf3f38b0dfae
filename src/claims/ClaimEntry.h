#pragma once

#include "claims/ClaimStateMachine.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecourse {

/// An incarnation of a server's agent started. The offset of its record is the incarnation's
/// fencing number.
struct AgentStart
{
    ServerId server;
    DaemonId agent;
    Incarnation incarnation;
};

/// An agent claims a key in order to run its request.
struct ClaimRequested
{
    AccountKey key;
    ClaimId claim;
    std::string requestDigest;
    ServerId server;
    Incarnation incarnation;
    FencingNumber fencing;
    /// Time to the request's deadline when the claim was made; the request never runs later.
    milliseconds validFor{0};
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
    /// Empty if the answer will not become known.
    std::optional<RecordedAnswer> answer;
};

/// An operator determined at the server whether the request of an unsettled key ran.
struct ClaimSettlement
{
    AccountKey key;
    bool ran = false;
    /// Claim to settle; if empty, the one that holds the key.
    ClaimId claim;
};

/// An agent is about to send its server the orders of a release note. Appended before they are
/// sent, so that later incarnations of the agent do not send older ones.
struct OrderAnnouncement
{
    ServerId server;
    Incarnation incarnation;
    FencingNumber order;
};

using ClaimEntry = std::variant<AgentStart, ClaimRequested, ClaimVoid, ClaimOutcome,
                                ClaimSettlement, OrderAnnouncement>;

/// Result of decoding one record of stream "claims".
struct DecodedClaimEntries
{
    std::vector<ClaimEntry> entries;
    /// Number of entries that could not be decoded; 1 if the whole record could not. Of the entries
    /// that are no objects, up to maxUnfitElements count.
    std::size_t malformed = 0;
};

/// Encodes the entries as the body of a log record. Strings may contain any bytes.
std::string encodeClaimEntries(const std::vector<ClaimEntry> &entries);
DecodedClaimEntries decodeClaimEntries(std::string_view body);

} // namespace lovagecourse
