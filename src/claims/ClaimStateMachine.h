#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "platform/LogRecord.h"
#include "wire/Messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagecourse {

/// Idempotency key, unique within its client account.
struct AccountKey
{
    AccountId account;
    IdempotencyKey key;

    auto operator<=>(const AccountKey &) const = default;
};

/// Answer of a request that ran; returned to repeated requests.
struct RecordedAnswer
{
    std::uint16_t status = 0;
    HeaderList headers;
    std::string body;
};

/// Phase of a key after all records read so far.
enum class KeyPhase : std::uint8_t {
    /// No claim holds the key; it may be claimed.
    Free,
    /// A claim holds the key, and its agent's incarnation is the newest.
    Claimed,
    /// The request ran, and its answer is recorded.
    Done,
    /// A claim holds the key, but its agent's incarnation ended or its answer is unknown: the
    /// request may have run.
    Unsettled,
    /// An operator settled that the request ran; its answer is unknown.
    SettledRan
};

/// State of one key.
struct KeyState
{
    KeyPhase phase = KeyPhase::Free;
    ClaimId claim;
    ServerId server;
    Incarnation incarnation;
    std::string requestDigest;
    RecordedAnswer answer;
    /// When the current claim was stored, by the platform's clock.
    WallTime claimedAt;
    /// The claim's deadline has passed by this time of the platform's clock. Before it, an agent
    /// that does not read the log may still run the request, so operators must not check at
    /// the server earlier whether it ran.
    WallTime mayRunUntil;
};

/// Key in phase Unsettled, which an operator may have to settle.
struct UnsettledKey
{
    AccountKey key;
    KeyState state;
};

/// Applies the records of stream "claims" and holds the resulting state of each key. Daemons that
/// apply the same records get the same state.
class ClaimStateMachine
{
public:
    ClaimStateMachine();
    ~ClaimStateMachine();
    ClaimStateMachine(const ClaimStateMachine &) = delete;
    ClaimStateMachine &operator=(const ClaimStateMachine &) = delete;

    /// Applies one record. Malformed entries are counted and change nothing.
    void apply(const LogRecord &record);
    KeyState state(const AccountKey &key) const;
    /// Fencing number of the newest start of a server's agent (its log offset); 0 if there is none.
    FencingNumber newestStart(const ServerId &server) const;
    /// Incarnation of the newest start of a server's agent; empty if there is none.
    std::optional<Incarnation> newestIncarnation(const ServerId &server) const;
    /// Highest order that an agent of the server announced; 0 if there is none.
    FencingNumber newestOrder(const ServerId &server) const;
    /// Number of successive incarnations of the server's agent that were read.
    std::size_t startCount(const ServerId &server) const;
    std::vector<UnsettledKey> unsettledKeys() const;
    /// Removes keys whose last record is older than the given time.
    void expire(WallTime olderThan);
    std::size_t size() const;
    std::uint64_t malformedEntries() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Encodes the record by which an operator settles a key. A settlement of not-run frees the key
/// only if it is Unsettled at that point of the log and the record's time is not before
/// mayRunUntil.
std::string settlementRecordBody(const AccountKey &key, bool ran);
/// Same, limited to one claim of the key. It changes nothing if another claim holds the key, so
/// that the server's answer about an earlier claim is not applied to a later one.
std::string settlementRecordBody(const AccountKey &key, const ClaimId &claim, bool ran);

} // namespace lovagecourse
