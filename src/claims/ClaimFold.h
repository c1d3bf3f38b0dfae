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

/// Idempotency key within its client account.
struct AccountKey
{
    AccountId account;
    IdempotencyKey key;

    auto operator<=>(const AccountKey &) const = default;
};

/// Answer of a request that ran, kept for repeated calls.
struct RecordedAnswer
{
    std::uint16_t status = 0;
    HeaderList headers;
    std::string body;
};

/// Where a key stands after all records read so far.
enum class KeyPhase : std::uint8_t {
    /// No claim stands; it may be claimed.
    Free,
    /// A claim stands and its agent's run is the newest.
    Claimed,
    /// It ran, and the answer is recorded.
    Done,
    /// A claim stands, but its agent's run ended: it may have run.
    Unsettled,
    /// An operator settled that it ran; the answer is not known.
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
    /// When the standing claim was stored, by the platform's clock.
    WallTime claimedAt;
    /// The claim's deadline is over by then, by the platform's clock. Until then an agent that does
    /// not read the log may still run the request, so a server that is asked whether it ran must
    /// be asked later.
    WallTime mayRunUntil;
};

/// Key that an operator may have to settle.
struct UnsettledKey
{
    AccountKey key;
    KeyState state;
};

/// Folds the records of stream "claims" into the state of each key. All daemons that read the same
/// records get the same states.
class ClaimFold
{
public:
    ClaimFold();
    ~ClaimFold();
    ClaimFold(const ClaimFold &) = delete;
    ClaimFold &operator=(const ClaimFold &) = delete;

    /// Applies one record; entries that can't be read are counted and change nothing.
    void apply(const LogRecord &record);
    KeyState state(const AccountKey &key) const;
    /// Offset of the newest start of a server's agent, its fencing number; 0 when there was none.
    FencingNumber newestStart(const ServerId &server) const;
    /// Incarnation of the newest start; empty when there was none.
    std::optional<Incarnation> newestIncarnation(const ServerId &server) const;
    /// Highest order that an agent of the server was about to give; 0 when there was none.
    FencingNumber newestOrder(const ServerId &server) const;
    /// Starts of the server's agent that were read.
    std::size_t startCount(const ServerId &server) const;
    std::vector<UnsettledKey> unsettledKeys() const;
    /// Forgets keys whose last record is older than the given time.
    void expire(WallTime olderThan);
    std::size_t size() const;
    std::uint64_t malformedEntries() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Body of a record by which an operator settles a key. A settlement of not-run frees the key only
/// if it is Unsettled at that point of the log and the record's time is not before mayRunUntil.
std::string settlementRecordBody(const AccountKey &key, bool ran);
/// The same for one claim of the key: changes nothing once another claim stands, so that an answer
/// of the server about an earlier claim is not taken for a later one.
std::string settlementRecordBody(const AccountKey &key, const ClaimId &claim, bool ran);

} // namespace lovagecourse
