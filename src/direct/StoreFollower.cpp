#include "direct/StoreFollower.h"

#include "core/Log.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace lovagecourse {

namespace {

constexpr std::array<std::string_view, 3> topicNames{"configuration", "servers", "daemons"};
constexpr std::array<std::string_view, 6> faultNames{"no-answer", "overloaded",   "unavailable",
                                                     "expired",   "history-lost", "malformed"};

} // namespace

std::string_view toString(KeyedTopic topic)
{
    return topicNames[static_cast<std::size_t>(topic)];
}

std::string_view toString(StoreFault fault)
{
    return faultNames[static_cast<std::size_t>(fault)];
}

StoreFollower::StoreFollower(EventLoop &loop, const Clock &clock, FleetStore &store,
                             KeyedTopic topic, PollTiming timing, Handlers handlers)
    : clock_(clock)
    , store_(store)
    , topic_(topic)
    , timing_(timing)
    , handlers_(std::move(handlers))
    , timer_(
              loop, [this] { read(); }, EventPriority::High)
    , catchUpTimer_(
              loop, [this] { catchUp(); }, EventPriority::High)
{}

void StoreFollower::start()
{
    read();
}

void StoreFollower::startOver()
{
    next_.reset();
    timer_.stop();
    catchUpTimer_.stop();
    read();
}

void StoreFollower::onReadElsewhere(LogOffset next)
{
    // The first read returns what there is.
    if (!next_)
        return;
    readElsewhere_ = std::max(readElsewhere_, next);
    scheduleCatchUp();
}

void StoreFollower::scheduleCatchUp()
{
    const bool isBehind = next_ && *next_ < readElsewhere_ && caughtUp_ < readElsewhere_;
    // Changes may follow each other faster than a busy process handles a read.
    const bool isCatchingUp = isReading_ && isCatchingUp_;
    if (isBehind && !isCatchingUp && !catchUpTimer_.isActive())
        catchUpTimer_.startOnce(timing_.catchUpDelay);
}

void StoreFollower::catchUp()
{
    if (!next_ || *next_ >= readElsewhere_)
        return;
    logInfo(LogPart::Platform, "event=store-read-behind topic=", toString(topic_),
            " next=", next_->value, " read_elsewhere=", readElsewhere_.value,
            " reading_ms=", isReading_ ? toMs(clock_.now() - readStart_) : -1,
            " failures=", failures_);
    caughtUp_ = readElsewhere_;
    timer_.stop();
    read(true);
}

void StoreFollower::read(bool isCatchUp)
{
    const bool isFullRead = !next_.has_value();
    isReading_ = true;
    isCatchingUp_ = isCatchUp;
    readStart_ = clock_.now();
    const auto onDone = [this, isFullRead, number = ++readNumber_, start = readStart_,
                         alive = std::weak_ptr<bool>(alive_)](const KeyedResult &result) {
        if (alive.expired())
            return;
        const bool isLast = number == readNumber_;
        if (isLast)
            onResult(result, isFullRead);
        else
            onEarlierResult(result, start);
        if (alive.expired())
            return;
        scheduleCatchUp();
        answerReaders(result, number, isLast);
    };
    const bool isRetry = failures_ > 0;
    const milliseconds answerTimeout = timing_.answerTimeout * (isRetry ? 2 : 1);
    // A retry that began while the store was silent must not outlast its return for long.
    const milliseconds wait = isRetry || isCatchUp ? milliseconds(0) : timing_.longPollWait;
    readFrom_ = next_.value_or(LogOffset(0));
    if (isFullRead)
        store_.readNewest(topic_, answerTimeout, onDone);
    else
        store_.readFrom(topic_, *next_, ReadOptions{wait, wait + answerTimeout, isCatchUp}, onDone);
}

void StoreFollower::onResult(const KeyedResult &result, bool isFullRead)
{
    isReading_ = false;
    if (const auto *fault = std::get_if<StoreFault>(&result))
        return onFault(*fault);
    handlers_.onAnswer();
    const auto &batch = std::get<KeyedBatch>(result);
    if (failures_ > 0) {
        const auto outage = std::chrono::duration_cast<milliseconds>(clock_.now() - failingSince_);
        logInfo(LogPart::Platform, "event=store-returned topic=", toString(topic_),
                " away_ms=", outage.count(), " failures=", failures_);
        failures_ = 0;
        // Records that were taken over may be newer than the start of this read.
        const auto unread = readStart_ - asOf_.value_or(readStart_);
        handlers_.onStoreReturned(std::max<std::chrono::nanoseconds>(unread, milliseconds(0)));
    }
    previousAsOf_ = asOf_;
    if (isFullRead) {
        wasFullRead_ = true;
        setCurrent(batch.next, readStart_);
        return handlers_.onFullRead(batch.records);
    }
    // The pages of a full read are no snapshot: they may contain changes from after the offset at
    // which the next read begins. That read finds no change in such records, but they are changes
    // to routers that have not read them, so its range must not cover them.
    const bool followsFullRead = std::exchange(wasFullRead_, false);
    const LogOffset from = *next_;
    const LogOffset to = std::max(batch.next, from);
    setCurrent(to, readStart_);
    // Records that were taken over during this read must not be applied after newer ones.
    std::vector<KeyedRecord> records = batch.records;
    if (from != readFrom_)
        std::erase_if(records, [&](const KeyedRecord &record) { return record.offset < from; });
    if (records.empty())
        handlers_.onEmptyRead(to);
    else
        handlers_.onRecords(records, followsFullRead ? to : from, to);
}

/// Uses the answer to a read that a catch-up has overtaken: this process may only have been late.
void StoreFollower::onEarlierResult(const KeyedResult &result, TimePoint start)
{
    const auto *batch = std::get_if<KeyedBatch>(&result);
    if (!batch || !next_ || batch->next <= *next_)
        return;
    const LogOffset from = *next_;
    std::vector<KeyedRecord> records = batch->records;
    std::erase_if(records, [&](const KeyedRecord &record) { return record.offset < from; });
    previousAsOf_ = asOf_;
    setCurrent(batch->next, start);
    handlers_.onRecords(records, from, batch->next);
}

bool StoreFollower::skipUnchanged(LogOffset from, LogOffset to, TimePoint asOf)
{
    if (!canSkip() || *next_ < from || to < *next_)
        return false;
    setCurrent(to, asOf);
    return true;
}

bool StoreFollower::takeOver(LogOffset from, LogOffset to, TimePoint asOf)
{
    if (!next_ || *next_ != from || to <= from)
        return false;
    setCurrent(to, asOf);
    return true;
}

/// Sets how far the records are known. The next read is timed from the start of the read that
/// returned them, because changes from after it may be missing. A read in progress, and a retry
/// after a failure, keep their time: only a read by this follower detects that the store has
/// recovered.
void StoreFollower::setCurrent(LogOffset next, TimePoint asOf)
{
    next_ = next;
    asOf_ = std::max(asOf_.value_or(asOf), asOf);
    scheduleRead();
}

void StoreFollower::scheduleRead()
{
    // A full read that is due now, or a retry, keeps its time.
    if (!next_ || isReading_ || failures_ > 0)
        return;
    const TimePoint now = clock_.now();
    std::chrono::nanoseconds delay = timing_.interval - (now - *asOf_);
    if (!readers_.empty())
        delay = std::min<std::chrono::nanoseconds>(delay,
                                                   timing_.leastInterval - (now - readStart_));
    timer_.startOnce(std::max<std::chrono::nanoseconds>(delay, milliseconds(0)));
}

void StoreFollower::readNow(std::function<void(bool isCurrent)> onRead)
{
    readers_.push_back({readNumber_ + 1, std::move(onRead)});
    scheduleRead();
}

void StoreFollower::cancelReaders()
{
    for (const auto &onRead : takeReaders(std::numeric_limits<std::uint64_t>::max()))
        onRead(false);
}

/// Removes the readers that the read with this number concerns.
std::vector<std::function<void(bool)>> StoreFollower::takeReaders(std::uint64_t number)
{
    std::vector<std::function<void(bool)>> taken;
    for (; !readers_.empty() && readers_.front().firstRead <= number; readers_.pop_front())
        taken.push_back(std::move(readers_.front().onRead));
    return taken;
}

/// isLast: no other read has begun since.
void StoreFollower::answerReaders(const KeyedResult &result, std::uint64_t number, bool isLast)
{
    if (readers_.empty())
        return;
    std::vector<std::function<void(bool)>> answered;
    const auto *batch = std::get_if<KeyedBatch>(&result);
    const bool isCurrent = batch && batch->isAtEnd && next_ && batch->next <= *next_;
    if (isCurrent || (!batch && isLast))
        answered = takeReaders(number);
    // Soon for those that wait for a later read or for the rest of the records, else as usual.
    scheduleRead();
    // Their callers may destroy this object.
    for (const auto &onRead : answered)
        onRead(isCurrent);
}

/// A read in progress covers the range.
bool StoreFollower::canSkip() const
{
    return next_ && !isReading_ && failures_ == 0;
}

void StoreFollower::onFault(StoreFault fault)
{
    if (fault == StoreFault::HistoryLost)
        handlers_.onHistoryLost();
    // A store without history has no servers' records either until the servers register again, so
    // the servers that are known stay in use.
    const bool isHistoryLost =
            fault == StoreFault::HistoryLost && topic_ == KeyedTopic::Configuration;
    if (fault == StoreFault::Expired || isHistoryLost) {
        logInfo(LogPart::Platform, "event=records-expired topic=", toString(topic_),
                " from=", next_ ? next_->value : 0, " fault=", toString(fault));
        next_.reset();
        timer_.startOnce(milliseconds(0));
        return;
    }
    if (failures_ == 0) {
        failingSince_ = clock_.now();
        logWarning(LogPart::Platform, "event=store-lost topic=", toString(topic_),
                   " fault=", toString(fault));
    }
    ++failures_;
    const milliseconds delay =
            std::min(timing_.maxRetryDelay, timing_.firstRetryDelay * static_cast<int>(failures_));
    logInfo(LogPart::Platform, "event=store-read-failed topic=", toString(topic_),
            " fault=", toString(fault), " failures=", failures_,
            " took_ms=", toMs(clock_.now() - readStart_),
            " known_ms_ago=", asOf_ ? toMs(clock_.now() - *asOf_) : -1,
            " retry_ms=", delay.count());
    timer_.startOnce(delay);
}

} // namespace lovagecourse
