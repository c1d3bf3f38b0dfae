#include "store/StoreFollower.h"

#include "core/Log.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace lovagecourse {

namespace {

constexpr std::array<std::string_view, 3> topicNames{"configuration", "servers", "daemons"};
constexpr std::array<std::string_view, 7> faultNames{"no-answer",  "overloaded",   "unavailable",
                                                     "expired",    "history-lost", "malformed",
                                                     "era-changed"};

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

void StoreFollower::onEraChanged(std::optional<StoreEra> era)
{
    if (next_ && next_->era == era)
        return;
    next_.reset();
    // A retry keeps its time: the store may have refused a call. One in progress may wait on a
    // silent connection.
    if (failures_ == 0 || isReading_)
        scheduleFullRead();
}

/// Routers read at different times, and a store whose era changes with each answer is not called
/// without a pause.
void StoreFollower::scheduleFullRead()
{
    catchUpTimer_.stop();
    readElsewhere_.reset();
    caughtUp_.reset();
    const int repetitions = std::max(0, static_cast<int>(endedReads_) - 1);
    timer_.startOnce(timing_.fullReadDelay
                     + std::min(timing_.maxRetryDelay, timing_.firstRetryDelay * repetitions));
}

void StoreFollower::onReadElsewhere(const StorePosition &next)
{
    // The first read returns what there is.
    if (!next_)
        return;
    if (!readElsewhere_ || isAheadOf(next, *readElsewhere_))
        readElsewhere_ = next;
    scheduleCatchUp();
}

void StoreFollower::scheduleCatchUp()
{
    const bool isBehind = next_ && readElsewhere_ && isAheadOf(*readElsewhere_, *next_)
                          && caughtUp_ != readElsewhere_;
    // Changes may follow each other faster than a busy process handles a read.
    const bool isCatchingUp = isReading_ && isCatchingUp_;
    if (isBehind && !isCatchingUp && !catchUpTimer_.isActive())
        catchUpTimer_.startOnce(timing_.catchUpDelay);
}

void StoreFollower::catchUp()
{
    if (!next_ || !readElsewhere_ || !isAheadOf(*readElsewhere_, *next_))
        return;
    logInfo(LogPart::Platform, "event=store-read-behind topic=", toString(topic_), " next=", *next_,
            " read_elsewhere=", *readElsewhere_,
            " reading_ms=", isReading_ ? toMs(clock_.now() - readStart_) : -1,
            " failures=", failures_);
    caughtUp_ = readElsewhere_;
    timer_.stop();
    read(true);
}

void StoreFollower::read(bool isCatchUp)
{
    const bool isFullRead = !next_.has_value();
    // A change of the store's era has ended the read in progress, whose connection may be silent.
    const bool isAfterEnd = isFullRead && isReading_;
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
    readFrom_ = next_;
    if (isFullRead)
        store_.readNewest(topic_, ReadOptions{milliseconds(0), answerTimeout, isAfterEnd}, onDone);
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
    if (!isFullRead)
        endedReads_ = 0;
    // Another call has shown meanwhile that the era has changed.
    if (!isFullRead && !next_)
        return scheduleFullRead();
    previousAsOf_ = asOf_;
    if (isFullRead) {
        wasFullRead_ = true;
        const bool isOlderCopy = lastNext_ && lastNext_->era != batch.next.era;
        setCurrent(batch.next, readStart_);
        if (isOlderCopy)
            handlers_.onOlderCopy();
        return handlers_.onFullRead(batch.records);
    }
    // The pages of a full read are no snapshot: they may contain changes from after the offset at
    // which the next read begins. That read finds no change in such records, but they are changes
    // to routers that have not read them, so its range must not cover them.
    const bool followsFullRead = std::exchange(wasFullRead_, false);
    const StorePosition from = *next_;
    const StorePosition to = isAheadOf(batch.next, from) ? batch.next : from;
    // The catch-up has shown that the store is not in the era of which another router told.
    if (readElsewhere_ && caughtUp_ == readElsewhere_ && readElsewhere_->era != to.era)
        readElsewhere_.reset();
    setCurrent(to, readStart_);
    // Records that were taken over during this read must not be applied after newer ones.
    std::vector<KeyedRecord> records = batch.records;
    if (from != readFrom_)
        std::erase_if(records,
                      [&](const KeyedRecord &record) { return record.offset < from.offset; });
    if (records.empty())
        handlers_.onEmptyRead(to);
    else
        handlers_.onRecords(records, followsFullRead ? to : from, to);
}

/// Uses the answer to a read that a catch-up has overtaken: this process may only have been late.
void StoreFollower::onEarlierResult(const KeyedResult &result, TimePoint start)
{
    const auto *batch = std::get_if<KeyedBatch>(&result);
    if (!batch || !next_ || batch->next.era != next_->era || covers(*next_, batch->next))
        return;
    const StorePosition from = *next_;
    std::vector<KeyedRecord> records = batch->records;
    std::erase_if(records, [&](const KeyedRecord &record) { return record.offset < from.offset; });
    previousAsOf_ = asOf_;
    setCurrent(batch->next, start);
    handlers_.onRecords(records, from, batch->next);
}

bool StoreFollower::skipUnchanged(const StorePosition &from, const StorePosition &to,
                                  TimePoint asOf)
{
    if (!canSkip() || !covers(*next_, from) || !covers(to, *next_))
        return false;
    setCurrent(to, asOf);
    return true;
}

bool StoreFollower::takeOver(const StorePosition &from, const StorePosition &to, TimePoint asOf)
{
    if (!next_ || *next_ != from || covers(from, to) || to.era != from.era)
        return false;
    setCurrent(to, asOf);
    return true;
}

/// Sets how far the records are known. The next read is timed from the start of the read that
/// returned them, because changes from after it may be missing. A read in progress, and a retry
/// after a failure, keep their time: only a read by this follower detects that the store has
/// recovered.
void StoreFollower::setCurrent(const StorePosition &next, TimePoint asOf)
{
    next_ = next;
    lastNext_ = next;
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
    const bool isCurrent = batch && batch->isAtEnd && next_ && covers(*next_, batch->next);
    // After a change of the era they wait for the full read.
    const bool hasFailed =
            !batch && isLast && std::get<StoreFault>(result) != StoreFault::EraChanged;
    if (isCurrent || hasFailed)
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
    if (fault == StoreFault::EraChanged) {
        ++endedReads_;
        next_.reset();
        return scheduleFullRead();
    }
    if (fault == StoreFault::Expired || isHistoryLost) {
        logInfo(LogPart::Platform, "event=records-expired topic=", toString(topic_),
                " from=", next_.value_or(StorePosition()), " fault=", toString(fault));
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
