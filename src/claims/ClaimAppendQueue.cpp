#include "claims/ClaimAppendQueue.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Bounds the time that one append takes.
constexpr std::size_t maxEntriesPerRecord = 256;
// Answers are the only large part of entries; a record of many may exceed what the log takes.
constexpr std::size_t maxAnswerBytesPerRecord = 256U << 10;
constexpr milliseconds retryPause{100};
constexpr milliseconds rejectedPause{1000};

std::size_t answerBytes(const ClaimEntry &entry)
{
    const auto *outcome = std::get_if<ClaimOutcome>(&entry);
    return outcome != nullptr && outcome->answer ? outcome->answer->body.size() : 0;
}

bool isClaim(const ClaimEntry &entry, const ClaimId &claim)
{
    const auto *requested = std::get_if<ClaimRequested>(&entry);
    return requested != nullptr && requested->claim == claim;
}

} // namespace

ClaimAppendQueue::ClaimAppendQueue(std::string recordIdPrefix)
    : prefix_(std::move(recordIdPrefix))
{}

void ClaimAppendQueue::push(ClaimEntry entry)
{
    waiting_.push_back({std::move(entry)});
}

bool ClaimAppendQueue::dropClaim(const ClaimId &claim)
{
    const auto found = std::find_if(waiting_.begin(), waiting_.end(), [&](const Waiting &item) {
        return isClaim(item.entry, claim);
    });
    // An entry of a rejected record may still be in the log through an earlier, unanswered append.
    if (found == waiting_.end() || found->alone)
        return false;
    waiting_.erase(found);
    return true;
}

std::optional<ClaimAppend> ClaimAppendQueue::due(TimePoint now)
{
    if (!current_ && now >= pauseUntil_)
        formRecord();
    if (!current_ || current_->awaitingResult || now < current_->retryAt)
        return std::nullopt;
    current_->awaitingResult = true;
    return ClaimAppend{current_->id, current_->body};
}

void ClaimAppendQueue::formRecord()
{
    if (waiting_.empty())
        return;
    Record record;
    std::size_t bytes = 0;
    while (!waiting_.empty() && record.entries.size() < maxEntriesPerRecord) {
        Waiting &next = waiting_.front();
        const bool alone = next.alone;
        bytes += answerBytes(next.entry);
        if (!record.entries.empty() && (alone || bytes > maxAnswerBytesPerRecord))
            break;
        record.entries.push_back(std::move(next.entry));
        waiting_.pop_front();
        if (alone)
            break;
    }
    record.id = prefix_ + std::to_string(++recordCount_);
    record.body = encodeClaimEntries(record.entries);
    unread_[record.id] = record.entries;
    current_ = std::move(record);
}

std::vector<ClaimId> ClaimAppendQueue::onResult(const std::string &recordId,
                                                const AppendResult &result, TimePoint now)
{
    if (!current_ || current_->id != recordId)
        return {};
    current_->awaitingResult = false;
    if (std::holds_alternative<LogOffset>(result)) {
        current_.reset();
        return {};
    }
    if (std::holds_alternative<PlatformRejected>(std::get<PlatformFailure>(result)))
        return onRejected(now);
    current_->retryAt = now + retryPause;
    return {};
}

std::vector<ClaimId> ClaimAppendQueue::onRejected(TimePoint now)
{
    std::vector<ClaimEntry> entries = std::move(current_->entries);
    current_.reset();
    pauseUntil_ = now + rejectedPause;
    if (entries.size() > 1) {
        // One entry that the platform does not take must not hold up the others.
        for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry)
            waiting_.push_front({std::move(*entry), true});
        return {};
    }
    if (const auto *claim = std::get_if<ClaimRequested>(&entries.front()))
        return {claim->claim};
    waiting_.push_back({std::move(entries.front()), true});
    return {};
}

std::vector<ClaimEntry> ClaimAppendQueue::onRead(const std::string &recordId)
{
    if (current_ && current_->id == recordId)
        current_.reset();
    const auto found = unread_.find(recordId);
    if (found == unread_.end())
        return {};
    std::vector<ClaimEntry> entries = std::move(found->second);
    unread_.erase(found);
    return entries;
}

std::size_t ClaimAppendQueue::pending() const
{
    const auto counts = [](const ClaimEntry &entry) {
        return !std::holds_alternative<AgentStart>(entry);
    };
    std::size_t count = 0;
    for (const Waiting &item : waiting_)
        count += counts(item.entry) ? 1 : 0;
    if (current_)
        count += std::count_if(current_->entries.begin(), current_->entries.end(), counts);
    return count;
}

} // namespace lovagecourse
