#include "claims/ClaimAppendQueue.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Limits the duration of one append.
constexpr std::size_t maxEntriesPerRecord = 256;
// Recorded answers are the only large part of an entry; several of them in one record could exceed
// the log's limit for a record.
constexpr std::size_t maxAnswerBytesPerRecord = 256U << 10;
constexpr milliseconds retryDelay{100};
constexpr milliseconds rejectedDelay{1000};

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
    queued_.push_back({std::move(entry)});
}

bool ClaimAppendQueue::dropClaim(const ClaimId &claim)
{
    const auto found = std::find_if(queued_.begin(), queued_.end(), [&](const QueuedEntry &item) {
        return isClaim(item.entry, claim);
    });
    // An entry of a rejected record may be in the log through an earlier append whose answer was
    // lost.
    if (found == queued_.end() || found->appendAlone)
        return false;
    queued_.erase(found);
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
    if (queued_.empty())
        return;
    Record record;
    std::size_t bytes = 0;
    while (!queued_.empty() && record.entries.size() < maxEntriesPerRecord) {
        QueuedEntry &next = queued_.front();
        const bool appendAlone = next.appendAlone;
        bytes += answerBytes(next.entry);
        if (!record.entries.empty() && (appendAlone || bytes > maxAnswerBytesPerRecord))
            break;
        record.entries.push_back(std::move(next.entry));
        queued_.pop_front();
        if (appendAlone)
            break;
    }
    record.id = prefix_ + std::to_string(++recordCount_);
    record.body = encodeClaimEntries(record.entries);
    unconfirmed_[record.id] = record.entries;
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
    current_->retryAt = now + retryDelay;
    return {};
}

std::vector<ClaimId> ClaimAppendQueue::onRejected(TimePoint now)
{
    std::vector<ClaimEntry> entries = std::move(current_->entries);
    current_.reset();
    pauseUntil_ = now + rejectedDelay;
    if (entries.size() > 1) {
        // Append the entries one by one, so that one that the platform rejects does not block the
        // others.
        for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry)
            queued_.push_front({std::move(*entry), true});
        return {};
    }
    if (const auto *claim = std::get_if<ClaimRequested>(&entries.front()))
        return {claim->claim};
    queued_.push_back({std::move(entries.front()), true});
    return {};
}

std::vector<ClaimEntry> ClaimAppendQueue::onRead(const std::string &recordId)
{
    if (current_ && current_->id == recordId)
        current_.reset();
    const auto found = unconfirmed_.find(recordId);
    if (found == unconfirmed_.end())
        return {};
    std::vector<ClaimEntry> entries = std::move(found->second);
    unconfirmed_.erase(found);
    return entries;
}

std::size_t ClaimAppendQueue::pending() const
{
    const auto counts = [](const ClaimEntry &entry) {
        return !std::holds_alternative<AgentStart>(entry);
    };
    std::size_t count = 0;
    for (const QueuedEntry &item : queued_)
        count += counts(item.entry) ? 1 : 0;
    if (current_)
        count += std::count_if(current_->entries.begin(), current_->entries.end(), counts);
    return count;
}

} // namespace lovagecourse
