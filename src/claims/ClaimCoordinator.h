#pragma once

#include "claims/ClaimFold.h"
#include "core/Clock.h"
#include "core/Refusal.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace lovagecourse {

/// Who makes claims.
struct ClaimOwner
{
    DaemonId agent;
    ServerId server;
    Incarnation incarnation;
};

/// One request that needs a claim before it runs.
struct ClaimRequest
{
    AccountKey key;
    std::string requestDigest;
    TimePoint deadline;
};

/// The claim won: the request may run now, once.
struct ClaimWon
{
    ClaimId claim;
};

/// The request ran before; its recorded answer is to be given.
struct ClaimReplay
{
    RecordedAnswer answer;
};

/// The request does not run here now.
struct ClaimRefused
{
    Refusal refusal;
};

using ClaimDecision = std::variant<ClaimWon, ClaimReplay, ClaimRefused>;

/// Record to be appended to stream "claims".
struct ClaimAppend
{
    std::string recordId;
    std::string body;
};

/// Takes an agent's claims from the request to the recorded outcome. It does no input or output:
/// its owner appends what appendDue() gives and feeds back what the log says.
class ClaimCoordinator
{
public:
    using DecisionHandler = std::function<void(const ClaimDecision &)>;

    explicit ClaimCoordinator(ClaimOwner owner);
    ~ClaimCoordinator();
    ClaimCoordinator(const ClaimCoordinator &) = delete;
    ClaimCoordinator &operator=(const ClaimCoordinator &) = delete;

    /// Asks for a claim; the handler is called once, at once or later. Claims wait until the
    /// agent's own start was read back.
    void begin(const ClaimRequest &request, DecisionHandler onDecision, TimePoint now);
    /// Must be true directly before the request is sent: false when the deadline passed, the claim
    /// was given up or settled, or a newer run of the server's agent started.
    bool mayRun(const ClaimId &claim, TimePoint now) const;
    /// The request was not and will not be sent: appends a void.
    void giveUp(const ClaimId &claim);
    /// The request was sent and its whole answer arrived.
    void recordOutcome(const ClaimId &claim, const RecordedAnswer &answer);
    /// The request was sent and nothing more will be known of it.
    void recordUnknown(const ClaimId &claim);

    /// Appends that the orders of a note are about to be given to the server.
    void announceOrder(FencingNumber order, TimePoint now);
    /// True when the announcement was appended at most 2 s ago and read back, no newer run of the
    /// agent started before it and no agent gave a newer order. Must be asked directly before the
    /// order is sent. After another run of the agent it is false until that run's last announcement
    /// can't be used any more.
    bool mayGiveOrder(FencingNumber order, TimePoint now) const;
    /// True while an announcement of the order may still become usable.
    bool isAnnounced(FencingNumber order, TimePoint now) const;

    /// Next record to append; empty while one is under way or nothing is due. A lost answer makes
    /// the same record due again.
    std::optional<ClaimAppend> appendDue(TimePoint now);
    void onAppendResult(const std::string &recordId, const AppendResult &result, TimePoint now);
    /// Records read from the stream, in order. caughtUp: all that was in the log was read.
    void onBatch(const LogBatch &batch, bool caughtUp, TimePoint now);
    /// Refuses requests whose deadline passed; call at least every 50 ms.
    void onTick(TimePoint now);

    const ClaimFold &fold() const;
    /// Forgets keys whose last record is older than the given time.
    void expire(WallTime olderThan);
    /// A newer run of the server's agent started, or records expired before they were read. No
    /// claim is won any more; the agent needs a new incarnation.
    bool isFenced() const;
    /// Claims, voids and outcomes that are not yet in the log.
    std::size_t pendingEntries() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
