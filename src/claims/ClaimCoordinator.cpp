#include "claims/ClaimCoordinator.h"

#include "claims/ClaimAppendQueue.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace lovagecourse {

namespace {

/// An order must be sent within this time after its announcement, or be announced again, so that an
/// agent that was suspended does not send an outdated order.
constexpr milliseconds announcementLifetime{2000};
/// A new incarnation waits this long before its first order, until the announcements of the former
/// incarnation have expired.
constexpr milliseconds takeoverDelay{3000};

/// Readers take at most 16 MiB at once (LogClient). A larger record would stop every follower of
/// the stream; the rest is for the other fields of the reader's answer.
constexpr std::size_t maxRecordBytes = 15U << 20;
/// Encoding enlarges a byte up to sevenfold, so that smaller answers need no check.
constexpr std::size_t alwaysFittingBytes = 1U << 20;

/// Returns whether the answer's record fits, as the JSON string that readers get.
bool fitsRecord(const RecordedAnswer &answer)
{
    std::size_t bytes = answer.body.size();
    for (const auto &[name, value] : answer.headers)
        bytes += name.size() + value.size();
    if (bytes <= alwaysFittingBytes)
        return true;
    const nlohmann::json record = encodeClaimEntries({ClaimOutcome{{}, {}, answer}});
    return record.dump().size() <= maxRecordBytes;
}

/// Order that this incarnation announced last.
struct AnnouncedOrder
{
    FencingNumber order;
    TimePoint at;
};

/// Progress of a claim of this incarnation, from queueing to its last record.
enum class ClaimStage : std::uint8_t {
    /// Queued, being appended or not yet decided; its request waits.
    Pending,
    /// Its request may run.
    Won,
    /// Its request never runs; the void entry may not be in the log yet.
    Abandoned,
    /// Its request was sent, and its outcome was queued; the answer may be unknown.
    Sent
};

struct OwnClaim
{
    AccountKey key;
    TimePoint deadline;
    ClaimStage stage = ClaimStage::Pending;
    /// The claim's record was read back from the log.
    bool readBack = false;
    /// Returned to repeated requests at this agent until the outcome is read back from the log.
    std::optional<RecordedAnswer> answer;
};

struct WaitingRequest
{
    ClaimRequest request;
    ClaimCoordinator::DecisionHandler onDecision;
    /// The request's own claim; empty while it has none, for example because another claim holds
    /// the key.
    std::optional<ClaimId> claim;
};

ClaimDecision refuse(RefusalReason reason, Ran ran)
{
    return ClaimRefused{Refusal{reason, ran}};
}

std::string incarnationPrefix(const ClaimOwner &owner)
{
    return owner.agent.value + "-" + std::to_string(owner.incarnation.value) + "-";
}

} // namespace

struct ClaimCoordinator::Impl
{
    ClaimOwner owner;
    ClaimStateMachine claimState;
    ClaimAppendQueue queue;
    std::list<WaitingRequest> waiting;
    std::map<ClaimId, OwnClaim> claims;
    std::uint64_t claimCount = 0;
    std::optional<FencingNumber> fencing;
    std::optional<AnnouncedOrder> announced;
    /// Announcements of this incarnation that were not read back. Each one counts, since one from
    /// before a suspension says nothing about the records that followed it.
    std::size_t unreadAnnouncements = 0;
    /// When this incarnation's start was read, if there was an earlier incarnation whose orders may
    /// still have been in flight.
    std::optional<TimePoint> tookOverAt;
    std::optional<LogOffset> nextOffset;
    bool caughtUp = false;
    bool recordsMissed = false;

    explicit Impl(ClaimOwner initialOwner);
    bool isFenced() const;
    bool isAbandoned(const ClaimId &claim) const;
    bool hasOtherLiveClaim(const WaitingRequest &item) const;
    void decideWaitingRequests(TimePoint now);
    std::optional<ClaimDecision> decide(WaitingRequest &item, TimePoint now);
    std::optional<ClaimDecision> decideByLog(const WaitingRequest &item,
                                             const KeyState &state) const;
    std::optional<ClaimDecision> decideByOwnRun(const ClaimId &claim) const;
    ClaimDecision refuseUndecided(const WaitingRequest &item, const KeyState &state) const;
    std::optional<ClaimDecision> decideOwnClaim(const WaitingRequest &item, const KeyState &state);
    void queueClaim(WaitingRequest &item, TimePoint now);
    void releaseClaim(const WaitingRequest &item);
    void abandon(const ClaimId &claim);
    void queueOutcome(const ClaimId &claim, std::optional<RecordedAnswer> answer);
    void onOwnEntry(const AgentStart &start, const LogRecord &record);
    void onOwnEntry(const ClaimRequested &claim, const LogRecord &record);
    void onOwnEntry(const ClaimVoid &entry, const LogRecord &record);
    void onOwnEntry(const ClaimOutcome &outcome, const LogRecord &record);
    void onOwnEntry(const ClaimSettlement &settlement, const LogRecord &record);
    void onOwnEntry(const OrderAnnouncement &announcement, const LogRecord &record);
    void apply(const LogRecord &record);
};

ClaimCoordinator::Impl::Impl(ClaimOwner initialOwner)
    : owner(std::move(initialOwner))
    , queue(incarnationPrefix(owner) + "r")
{
    queue.push(AgentStart{owner.server, owner.agent, owner.incarnation});
}

bool ClaimCoordinator::Impl::isFenced() const
{
    return recordsMissed || (fencing && claimState.newestStart(owner.server) > *fencing);
}

bool ClaimCoordinator::Impl::isAbandoned(const ClaimId &claim) const
{
    const auto own = claims.find(claim);
    return own != claims.end() && own->second.stage == ClaimStage::Abandoned;
}

bool ClaimCoordinator::Impl::hasOtherLiveClaim(const WaitingRequest &item) const
{
    return std::any_of(claims.begin(), claims.end(), [&](const auto &entry) {
        const auto &[id, own] = entry;
        const bool live = own.stage != ClaimStage::Abandoned;
        return live && own.key == item.request.key && id != item.claim;
    });
}

void ClaimCoordinator::Impl::decideWaitingRequests(TimePoint now)
{
    // Handlers may call this object again, so they run after the loop that changes the list.
    std::vector<std::pair<DecisionHandler, ClaimDecision>> decided;
    for (auto item = waiting.begin(); item != waiting.end();) {
        std::optional<ClaimDecision> decision = decide(*item, now);
        if (!decision) {
            ++item;
            continue;
        }
        if (!std::holds_alternative<ClaimWon>(*decision))
            releaseClaim(*item);
        decided.emplace_back(std::move(item->onDecision), std::move(*decision));
        item = waiting.erase(item);
    }
    for (const auto &[onDecision, decision] : decided)
        onDecision(decision);
}

std::optional<ClaimDecision> ClaimCoordinator::Impl::decide(WaitingRequest &item, TimePoint now)
{
    const KeyState state = claimState.state(item.request.key);
    if (auto decision = decideByLog(item, state))
        return decision;
    if (now >= item.request.deadline || isFenced())
        return refuseUndecided(item, state);
    if (item.claim)
        return decideOwnClaim(item, state);
    const bool free = state.phase == KeyPhase::Free || isAbandoned(state.claim);
    if (free && fencing && !hasOtherLiveClaim(item))
        queueClaim(item, now);
    return std::nullopt;
}

/// Decision that follows from the key's state in the log; empty if the request has to wait or may
/// claim the key.
std::optional<ClaimDecision> ClaimCoordinator::Impl::decideByLog(const WaitingRequest &item,
                                                                 const KeyState &state) const
{
    const bool open = state.phase == KeyPhase::Claimed || state.phase == KeyPhase::Unsettled;
    const bool own = item.claim && state.claim == *item.claim;
    if (state.phase == KeyPhase::Free || (open && (own || isAbandoned(state.claim))))
        return std::nullopt;
    // The digest is empty if an operator settled a key whose claim is not in the log.
    const bool digestKnown = !state.requestDigest.empty();
    if (digestKnown && state.requestDigest != item.request.requestDigest)
        return refuse(RefusalReason::IdempotencyKeyConflict, Ran::No);
    switch (state.phase) {
    case KeyPhase::Done:
        return ClaimReplay{state.answer};
    case KeyPhase::SettledRan:
        return refuse(RefusalReason::IdempotencyKeyUnsettled, Ran::Yes);
    case KeyPhase::Unsettled:
        return refuse(RefusalReason::IdempotencyKeyUnsettled, Ran::Unknown);
    case KeyPhase::Claimed:
    case KeyPhase::Free:
        break;
    }
    return decideByOwnRun(state.claim);
}

/// Decision on a repeat of a request that this agent sent and whose outcome is not in the log yet.
std::optional<ClaimDecision> ClaimCoordinator::Impl::decideByOwnRun(const ClaimId &claim) const
{
    const auto own = claims.find(claim);
    if (own == claims.end() || own->second.stage != ClaimStage::Sent)
        return std::nullopt;
    if (own->second.answer)
        return ClaimReplay{*own->second.answer};
    return refuse(RefusalReason::IdempotencyKeyUnsettled, Ran::Unknown);
}

ClaimDecision ClaimCoordinator::Impl::refuseUndecided(const WaitingRequest &item,
                                                      const KeyState &state) const
{
    const bool own = item.claim && state.claim == *item.claim;
    const bool heldByOther = state.phase == KeyPhase::Claimed && !own && !isAbandoned(state.claim);
    if (heldByOther || hasOtherLiveClaim(item))
        return refuse(RefusalReason::IdempotencyKeyInProgress, Ran::Unknown);
    return refuse(RefusalReason::ClaimUnavailable, Ran::No);
}

std::optional<ClaimDecision> ClaimCoordinator::Impl::decideOwnClaim(const WaitingRequest &item,
                                                                    const KeyState &state)
{
    OwnClaim &own = claims.at(*item.claim);
    const bool holdsKey = state.phase == KeyPhase::Claimed && state.claim == *item.claim;
    // Unread records may contain a newer start of the server's agent.
    if (!own.readBack || !holdsKey || !caughtUp)
        return std::nullopt;
    own.stage = ClaimStage::Won;
    return ClaimWon{*item.claim};
}

void ClaimCoordinator::Impl::queueClaim(WaitingRequest &item, TimePoint now)
{
    const ClaimId claim(incarnationPrefix(owner) + "c" + std::to_string(++claimCount));
    claims[claim] = OwnClaim{item.request.key, item.request.deadline};
    item.claim = claim;
    const auto validFor = std::chrono::ceil<milliseconds>(item.request.deadline - now);
    queue.push(ClaimRequested{item.request.key, claim, item.request.requestDigest, owner.server,
                              owner.incarnation, *fencing, validFor});
}

void ClaimCoordinator::Impl::releaseClaim(const WaitingRequest &item)
{
    if (!item.claim)
        return;
    if (queue.dropClaim(*item.claim))
        claims.erase(*item.claim);
    else
        abandon(*item.claim);
}

void ClaimCoordinator::Impl::abandon(const ClaimId &claim)
{
    const auto own = claims.find(claim);
    if (own == claims.end())
        return;
    OwnClaim &entry = own->second;
    if (entry.stage != ClaimStage::Pending && entry.stage != ClaimStage::Won)
        return;
    entry.stage = ClaimStage::Abandoned;
    queue.push(ClaimVoid{entry.key, claim});
}

void ClaimCoordinator::Impl::queueOutcome(const ClaimId &claim,
                                          std::optional<RecordedAnswer> answer)
{
    const auto own = claims.find(claim);
    if (own == claims.end() || own->second.stage != ClaimStage::Won)
        return;
    own->second.stage = ClaimStage::Sent;
    own->second.answer = answer;
    queue.push(ClaimOutcome{own->second.key, claim, std::move(answer)});
}

void ClaimCoordinator::Impl::onOwnEntry(const AgentStart & /*start*/, const LogRecord &record)
{
    if (!fencing)
        fencing = FencingNumber(record.offset.value);
}

void ClaimCoordinator::Impl::onOwnEntry(const ClaimRequested &claim, const LogRecord & /*record*/)
{
    const auto own = claims.find(claim.claim);
    if (own == claims.end())
        return;
    own->second.readBack = true;
    if (claimState.state(claim.key).claim == claim.claim)
        return;
    // Another claim holds the key, so this one never will; its request waits for the other claim.
    claims.erase(own);
    for (WaitingRequest &item : waiting) {
        if (item.claim == claim.claim)
            item.claim.reset();
    }
}

void ClaimCoordinator::Impl::onOwnEntry(const ClaimVoid &entry, const LogRecord & /*record*/)
{
    claims.erase(entry.claim);
}

void ClaimCoordinator::Impl::onOwnEntry(const ClaimOutcome &outcome, const LogRecord & /*record*/)
{
    claims.erase(outcome.claim);
}

void ClaimCoordinator::Impl::onOwnEntry(const ClaimSettlement & /*settlement*/,
                                        const LogRecord & /*record*/)
{}

void ClaimCoordinator::Impl::onOwnEntry(const OrderAnnouncement & /*announcement*/,
                                        const LogRecord & /*record*/)
{
    --unreadAnnouncements;
}

void ClaimCoordinator::Impl::apply(const LogRecord &record)
{
    claimState.apply(record);
    for (const ClaimEntry &entry : queue.onRead(record.recordId))
        std::visit([&](const auto &value) { onOwnEntry(value, record); }, entry);
}

ClaimCoordinator::ClaimCoordinator(ClaimOwner owner)
    : impl_(std::make_unique<Impl>(std::move(owner)))
{}

ClaimCoordinator::~ClaimCoordinator() = default;

void ClaimCoordinator::begin(const ClaimRequest &request, DecisionHandler onDecision, TimePoint now)
{
    impl_->waiting.push_back({request, std::move(onDecision), std::nullopt});
    impl_->decideWaitingRequests(now);
}

bool ClaimCoordinator::mayRun(const ClaimId &claim, TimePoint now) const
{
    const auto own = impl_->claims.find(claim);
    if (own == impl_->claims.end() || own->second.stage != ClaimStage::Won)
        return false;
    if (now >= own->second.deadline || impl_->isFenced())
        return false;
    const KeyState state = impl_->claimState.state(own->second.key);
    return state.phase == KeyPhase::Claimed && state.claim == claim;
}

void ClaimCoordinator::abandonClaim(const ClaimId &claim)
{
    impl_->abandon(claim);
}

RecordResult ClaimCoordinator::recordOutcome(const ClaimId &claim, const RecordedAnswer &answer)
{
    if (!fitsRecord(answer)) {
        impl_->queueOutcome(claim, std::nullopt);
        return RecordResult::TooLarge;
    }
    impl_->queueOutcome(claim, answer);
    return RecordResult::Recorded;
}

void ClaimCoordinator::recordUnknownOutcome(const ClaimId &claim)
{
    impl_->queueOutcome(claim, std::nullopt);
}

std::optional<ClaimAppend> ClaimCoordinator::appendDue(TimePoint now)
{
    return impl_->queue.due(now);
}

void ClaimCoordinator::onAppendResult(const std::string &recordId, const AppendResult &result,
                                      TimePoint now)
{
    for (const ClaimId &claim : impl_->queue.onResult(recordId, result, now)) {
        const auto item = std::find_if(impl_->waiting.begin(), impl_->waiting.end(),
                                       [&](const auto &entry) { return entry.claim == claim; });
        impl_->abandon(claim);
        if (item == impl_->waiting.end())
            continue;
        const DecisionHandler onDecision = std::move(item->onDecision);
        impl_->waiting.erase(item);
        onDecision(refuse(RefusalReason::ClaimUnavailable, Ran::No));
    }
}

void ClaimCoordinator::onBatch(const LogBatch &batch, bool caughtUp, TimePoint now)
{
    if (impl_->nextOffset && batch.oldest > *impl_->nextOffset)
        impl_->recordsMissed = true;
    impl_->nextOffset = batch.next;
    impl_->caughtUp = caughtUp;
    const bool wasStarted = impl_->fencing.has_value();
    for (const LogRecord &record : batch.records)
        impl_->apply(record);
    const bool hasStarted = !wasStarted && impl_->fencing;
    // The start of an earlier incarnation may have expired from the log; its orders are announced
    // again before their announcements expire.
    const ServerId &server = impl_->owner.server;
    const bool hasPredecessor = impl_->claimState.startCount(server) > 1
                                || impl_->claimState.newestOrder(server) > FencingNumber(0);
    if (hasStarted && hasPredecessor)
        impl_->tookOverAt = now;
    impl_->decideWaitingRequests(now);
}

void ClaimCoordinator::announceOrder(FencingNumber order, TimePoint now)
{
    impl_->announced = AnnouncedOrder{order, now};
    ++impl_->unreadAnnouncements;
    impl_->queue.push(OrderAnnouncement{impl_->owner.server, impl_->owner.incarnation, order});
}

bool ClaimCoordinator::maySendOrder(FencingNumber order, TimePoint now) const
{
    const bool tookOver = impl_->tookOverAt && now - *impl_->tookOverAt < takeoverDelay;
    return isAnnounced(order, now) && impl_->unreadAnnouncements == 0 && impl_->caughtUp
           && impl_->fencing && !impl_->isFenced() && !tookOver
           && impl_->claimState.newestOrder(impl_->owner.server) <= order;
}

bool ClaimCoordinator::isAnnounced(FencingNumber order, TimePoint now) const
{
    return impl_->announced && impl_->announced->order == order
           && now - impl_->announced->at <= announcementLifetime;
}

void ClaimCoordinator::onTick(TimePoint now)
{
    impl_->decideWaitingRequests(now);
}

const ClaimStateMachine &ClaimCoordinator::claimState() const
{
    return impl_->claimState;
}

void ClaimCoordinator::expire(WallTime olderThan)
{
    impl_->claimState.expire(olderThan);
}

bool ClaimCoordinator::isFenced() const
{
    return impl_->isFenced();
}

std::size_t ClaimCoordinator::pendingEntries() const
{
    return impl_->queue.pending();
}

} // namespace lovagecourse
