#pragma once

#include "claims/ClaimStateMachine.h"
#include "core/Clock.h"
#include "core/Refusal.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace lovagecourse {

/// Agent incarnation that makes the claims, and its server.
struct ClaimOwner
{
    DaemonId agent;
    ServerId server;
    Incarnation incarnation;
};

/// Request that needs a claim on its idempotency key before it may run.
struct ClaimRequest
{
    AccountKey key;
    std::string requestDigest;
    TimePoint deadline;
};

/// The claim holds the key: the request may run now, once.
struct ClaimWon
{
    ClaimId claim;
};

/// The request ran before; its recorded answer must be returned.
struct ClaimReplay
{
    RecordedAnswer answer;
};

/// The request does not run at this agent now.
struct ClaimRefused
{
    Refusal refusal;
};

using ClaimDecision = std::variant<ClaimWon, ClaimReplay, ClaimRefused>;

/// Record to append to stream "claims".
struct ClaimAppend
{
    std::string recordId;
    std::string body;
};

/// Whether an answer was queued for the log.
enum class RecordResult : std::uint8_t { Recorded, TooLarge };

/// Manages an agent's claims from the request to the recorded outcome, so that each idempotency key
/// runs at most once. It does no I/O: its owner appends the records that appendDue() returns, and
/// passes in the append results and the records read from the log.
class ClaimCoordinator
{
public:
    using DecisionHandler = std::function<void(const ClaimDecision &)>;

    explicit ClaimCoordinator(ClaimOwner owner);
    ~ClaimCoordinator();
    ClaimCoordinator(const ClaimCoordinator &) = delete;
    ClaimCoordinator &operator=(const ClaimCoordinator &) = delete;

    /// Requests a claim. The handler is called once, immediately or later. No claim is appended
    /// before the agent's own AgentStart has been read back.
    void begin(const ClaimRequest &request, DecisionHandler onDecision, TimePoint now);
    /// Check directly before sending the request. False if the deadline has passed, the claim was
    /// abandoned or settled, or the agent is fenced.
    bool mayRun(const ClaimId &claim, TimePoint now) const;
    /// The request was not and will not be sent: queues a void entry.
    void abandonClaim(const ClaimId &claim);
    /// The request was sent and its complete answer was received. An answer that readers of the log
    /// can't take is recorded as unknown.
    RecordResult recordOutcome(const ClaimId &claim, const RecordedAnswer &answer);
    /// The request was sent, but its answer will not become known.
    void recordUnknownOutcome(const ClaimId &claim);

    /// Queues an announcement that the orders of a release note are about to be sent to the server.
    void announceOrder(FencingNumber order, TimePoint now);
    /// Check directly before sending the order. True if the order was announced at most 2 s ago,
    /// all announcements of this incarnation and the rest of the log were read, the agent is not
    /// fenced, and no agent of the server announced a newer order. If an earlier incarnation
    /// exists, it stays false for the first 3 s, until that incarnation's last announcement has
    /// expired.
    bool maySendOrder(FencingNumber order, TimePoint now) const;
    /// True if the last announcement is of this order and at most 2 s old.
    bool isAnnounced(FencingNumber order, TimePoint now) const;

    /// Returns the next record to append; empty while an append is in flight or nothing is due. If
    /// the answer to an append is lost, the same record becomes due again.
    std::optional<ClaimAppend> appendDue(TimePoint now);
    void onAppendResult(const std::string &recordId, const AppendResult &result, TimePoint now);
    /// Applies records read from the stream, in order. caughtUp is true if the batch ends at the
    /// end of the log.
    void onBatch(const LogBatch &batch, bool caughtUp, TimePoint now);
    /// Refuses requests whose deadline has passed; call at least every 50 ms.
    void onTick(TimePoint now);

    const ClaimStateMachine &claimState() const;
    /// Removes keys whose last record is older than the given time.
    void expire(WallTime olderThan);
    /// True if a newer incarnation of the server's agent started, or records expired before they
    /// were read. No more claims are won; the agent needs a new incarnation.
    bool isFenced() const;
    /// Number of queued entries that are not known to be in the log, not counting AgentStart.
    std::size_t pendingEntries() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
