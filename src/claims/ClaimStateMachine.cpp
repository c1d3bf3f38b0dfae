#include "claims/ClaimStateMachine.h"

#include "claims/ClaimEntry.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace lovagecourse {

namespace {

/// Newest start of a server's agent.
struct ServerStart
{
    FencingNumber fencing;
    Incarnation incarnation;
    std::size_t count = 1;
};

/// State of one key, built from the log's records.
struct KeyEntry
{
    /// The phase reflects only the key's own records. Impl::phase() returns Unsettled for Claimed
    /// if the server's agent has started again since.
    KeyState state;
    FencingNumber fencing;
    /// Claims that ended without running their request; none of them may hold the key again.
    std::set<ClaimId> ended;
    WallTime lastRecord;
};

} // namespace

struct ClaimStateMachine::Impl
{
    std::map<AccountKey, KeyEntry> keys;
    std::unordered_map<ServerId, ServerStart> starts;
    std::unordered_map<ServerId, FencingNumber> orders;
    std::optional<LogOffset> lastOffset;
    std::uint64_t malformed = 0;

    KeyPhase phase(const KeyEntry &entry) const;
    KeyEntry &touch(const AccountKey &key, const LogRecord &record);
    void recordStart(const ServerId &server, FencingNumber fencing, Incarnation incarnation);
    void apply(const AgentStart &start, const LogRecord &record);
    void apply(const ClaimRequested &claim, const LogRecord &record);
    void apply(const ClaimVoid &entry, const LogRecord &record);
    void apply(const ClaimOutcome &outcome, const LogRecord &record);
    void apply(const ClaimSettlement &settlement, const LogRecord &record);
    void apply(const OrderAnnouncement &announcement, const LogRecord &record);
};

KeyPhase ClaimStateMachine::Impl::phase(const KeyEntry &entry) const
{
    if (entry.state.phase != KeyPhase::Claimed)
        return entry.state.phase;
    const auto start = starts.find(entry.state.server);
    const bool newest = start == starts.end() || start->second.fencing <= entry.fencing;
    return newest ? KeyPhase::Claimed : KeyPhase::Unsettled;
}

KeyEntry &ClaimStateMachine::Impl::touch(const AccountKey &key, const LogRecord &record)
{
    KeyEntry &entry = keys[key];
    entry.lastRecord = std::max(entry.lastRecord, record.time);
    return entry;
}

void ClaimStateMachine::Impl::recordStart(const ServerId &server, FencingNumber fencing,
                                          Incarnation incarnation)
{
    const auto [start, added] = starts.try_emplace(server, ServerStart{fencing, incarnation});
    // A repeated start of the same incarnation must not fence its own claims.
    if (added || start->second.incarnation == incarnation || fencing <= start->second.fencing)
        return;
    start->second = ServerStart{fencing, incarnation, start->second.count + 1};
}

void ClaimStateMachine::Impl::apply(const AgentStart &start, const LogRecord &record)
{
    recordStart(start.server, FencingNumber(record.offset.value), start.incarnation);
}

void ClaimStateMachine::Impl::apply(const ClaimRequested &claim, const LogRecord &record)
{
    // The AgentStart record may have expired from the log before this daemon began to read.
    recordStart(claim.server, claim.fencing, claim.incarnation);
    KeyEntry &entry = touch(claim.key, record);
    const bool outdated = claim.fencing < starts.at(claim.server).fencing;
    const bool known = claim.claim == entry.state.claim || entry.ended.contains(claim.claim);
    if (outdated || known || phase(entry) != KeyPhase::Free)
        return;
    if (!entry.state.claim.value.empty())
        entry.ended.insert(entry.state.claim);
    entry.state = KeyState{};
    entry.state.phase = KeyPhase::Claimed;
    entry.state.claim = claim.claim;
    entry.state.server = claim.server;
    entry.state.incarnation = claim.incarnation;
    entry.state.requestDigest = claim.requestDigest;
    entry.state.claimedAt = record.time;
    entry.state.mayRunUntil = record.time + claim.validFor;
    entry.fencing = claim.fencing;
}

void ClaimStateMachine::Impl::apply(const ClaimVoid &entry, const LogRecord &record)
{
    KeyEntry &stored = touch(entry.key, record);
    const KeyPhase before = phase(stored);
    const bool isHeld = before == KeyPhase::Claimed || before == KeyPhase::Unsettled;
    if (isHeld && stored.state.claim == entry.claim)
        stored.state = KeyState{};
    if (stored.state.claim != entry.claim)
        stored.ended.insert(entry.claim);
}

void ClaimStateMachine::Impl::apply(const ClaimOutcome &outcome, const LogRecord &record)
{
    KeyEntry &entry = touch(outcome.key, record);
    if (outcome.claim != entry.state.claim)
        return;
    if (outcome.answer && entry.state.phase != KeyPhase::Done) {
        // Accepted even after a settlement: the agent has the answer, so the request ran.
        entry.state.phase = KeyPhase::Done;
        entry.state.answer = *outcome.answer;
        return;
    }
    if (entry.state.phase == KeyPhase::Claimed)
        entry.state.phase = KeyPhase::Unsettled;
}

void ClaimStateMachine::Impl::apply(const ClaimSettlement &settlement, const LogRecord &record)
{
    KeyEntry &entry = touch(settlement.key, record);
    const bool named = !settlement.claim.value.empty();
    if (named && settlement.claim != entry.state.claim)
        return;
    const KeyPhase before = phase(entry);
    if (settlement.ran && before != KeyPhase::Done)
        entry.state.phase = KeyPhase::SettledRan;
    // Before mayRunUntil, an agent that does not read the log may still run the request.
    const bool isExpired = record.time >= entry.state.mayRunUntil;
    if (!settlement.ran && before == KeyPhase::Unsettled && isExpired)
        entry.state.phase = KeyPhase::Free;
}

void ClaimStateMachine::Impl::apply(const OrderAnnouncement &announcement,
                                    const LogRecord & /*record*/)
{
    FencingNumber &newest = orders[announcement.server];
    newest = std::max(newest, announcement.order);
}

ClaimStateMachine::ClaimStateMachine()
    : impl_(std::make_unique<Impl>())
{}

ClaimStateMachine::~ClaimStateMachine() = default;

void ClaimStateMachine::apply(const LogRecord &record)
{
    // A log follower that restarts from the beginning delivers records again.
    if (impl_->lastOffset && record.offset <= *impl_->lastOffset)
        return;
    impl_->lastOffset = record.offset;
    const DecodedClaimEntries decoded = decodeClaimEntries(record.body);
    impl_->malformed += decoded.malformed;
    for (const ClaimEntry &entry : decoded.entries)
        std::visit([&](const auto &value) { impl_->apply(value, record); }, entry);
}

KeyState ClaimStateMachine::state(const AccountKey &key) const
{
    const auto found = impl_->keys.find(key);
    if (found == impl_->keys.end())
        return {};
    const KeyPhase phase = impl_->phase(found->second);
    if (phase == KeyPhase::Free)
        return {};
    KeyState state = found->second.state;
    state.phase = phase;
    return state;
}

FencingNumber ClaimStateMachine::newestStart(const ServerId &server) const
{
    const auto start = impl_->starts.find(server);
    return start == impl_->starts.end() ? FencingNumber(0) : start->second.fencing;
}

std::optional<Incarnation> ClaimStateMachine::newestIncarnation(const ServerId &server) const
{
    const auto start = impl_->starts.find(server);
    if (start == impl_->starts.end())
        return std::nullopt;
    return start->second.incarnation;
}

FencingNumber ClaimStateMachine::newestOrder(const ServerId &server) const
{
    const auto found = impl_->orders.find(server);
    return found == impl_->orders.end() ? FencingNumber(0) : found->second;
}

std::size_t ClaimStateMachine::startCount(const ServerId &server) const
{
    const auto start = impl_->starts.find(server);
    return start == impl_->starts.end() ? 0 : start->second.count;
}

std::vector<UnsettledKey> ClaimStateMachine::unsettledKeys() const
{
    std::vector<UnsettledKey> keys;
    for (const auto &[key, entry] : impl_->keys) {
        if (impl_->phase(entry) == KeyPhase::Unsettled)
            keys.push_back({key, state(key)});
    }
    return keys;
}

void ClaimStateMachine::expire(WallTime olderThan)
{
    std::erase_if(impl_->keys,
                  [&](const auto &item) { return item.second.lastRecord < olderThan; });
}

std::size_t ClaimStateMachine::size() const
{
    return impl_->keys.size();
}

std::uint64_t ClaimStateMachine::malformedEntries() const
{
    return impl_->malformed;
}

std::string settlementRecordBody(const AccountKey &key, bool ran)
{
    return settlementRecordBody(key, ClaimId(), ran);
}

std::string settlementRecordBody(const AccountKey &key, const ClaimId &claim, bool ran)
{
    return encodeClaimEntries({ClaimSettlement{key, ran, claim}});
}

} // namespace lovagecourse
