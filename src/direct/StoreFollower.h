#pragma once

#include "core/EventLoop.h"
#include "direct/FleetStore.h"
#include "direct/PollTiming.h"

#include <deque>
#include <functional>
#include <memory>

namespace lovagecourse {

/// Follows one topic of the store: reads the newest record of every key first, then new records.
/// Retries failed reads, and starts over when the next records have expired.
class StoreFollower
{
public:
    struct Handlers
    {
        /// Newest records of all keys of the topic.
        std::function<void(const std::vector<KeyedRecord> &)> onFullRead;
        /// New records in order, and the range of offsets that they cover. For the first read after
        /// a full read the range is empty (from equals to), because the full read may have returned
        /// some of these records already.
        std::function<void(const std::vector<KeyedRecord> &, LogOffset from, LogOffset to)>
                onRecords;
        /// A read returned no records; next is the offset at which it began.
        std::function<void(LogOffset next)> onEmptyRead;
        /// The store has answered a read; called before the handlers below and above.
        std::function<void()> onAnswer = [] {};
        /// A read succeeded after failures; called before the handler for its records. unread: from
        /// the start of the last read before the failures to the start of this one.
        std::function<void(std::chrono::nanoseconds unread)> onStoreReturned;
        /// The store has lost records that were read; it may give their offsets to other records,
        /// of which some are never read.
        std::function<void()> onHistoryLost = [] {};
    };

    StoreFollower(EventLoop &loop, const Clock &clock, FleetStore &store, KeyedTopic topic,
                  PollTiming timing, Handlers handlers);

    void start();
    /// Drops a read in progress and reads the newest record of every key again.
    void startOver();
    /// Another router has read this range of records and found no change in it. Skips the range and
    /// postpones the next read, if this follower has read all records before it; returns whether it
    /// has. asOf: start of the other router's read.
    bool skipUnchanged(LogOffset from, LogOffset to, TimePoint asOf);
    /// Another router has read this range of records and passes on those that are changes. Returns
    /// true if this follower continues after the range, so that the caller must apply them. Unlike
    /// a range without changes, it must begin where this follower is: an older change must not
    /// follow a newer one. Also while a read of this follower is in progress or has failed.
    bool takeOver(LogOffset from, LogOffset to, TimePoint asOf);
    /// Another router has read all records before this offset. If this follower does not get them
    /// within the catch-up delay, it reads on a new connection beside the read in progress, whose
    /// connection may be silent; the first answer counts.
    void onReadElsewhere(LogOffset next);
    /// Calls onRead with true as soon as all records that were written before this call are
    /// applied: after a read that begins after the call, at once or after the one in progress. With
    /// false if that read fails. Calls share a read; after a failure they wait for the next retry.
    void readNow(std::function<void(bool isCurrent)> onRead);
    /// Answers the callers of readNow() with false.
    void cancelReaders();
    /// Start of the last read whose records are applied, by this follower or by the router that
    /// passed them on. Changes from before it are known. Empty before the first read.
    std::optional<TimePoint> asOf() const { return asOf_; }
    /// Offset after the last record that is applied. Empty before the first read.
    std::optional<LogOffset> next() const { return next_; }
    /// In a handler for records: they were written after this time. Empty after the first read.
    std::optional<TimePoint> writtenAfter() const { return previousAsOf_; }
    /// True while the last read failed.
    bool isFailing() const { return failures_ > 0; }

private:
    struct Reader
    {
        /// Number of the first read that begins after the call.
        std::uint64_t firstRead = 0;
        std::function<void(bool)> onRead;
    };

    void read(bool isCatchUp = false);
    void catchUp();
    void scheduleCatchUp();
    void onResult(const KeyedResult &result, bool isFullRead);
    void onEarlierResult(const KeyedResult &result, TimePoint start);
    void onFault(StoreFault fault);
    bool canSkip() const;
    void setCurrent(LogOffset next, TimePoint asOf);
    void scheduleRead();
    void answerReaders(const KeyedResult &result, std::uint64_t number, bool isLast);
    std::vector<std::function<void(bool)>> takeReaders(std::uint64_t number);

    const Clock &clock_;
    FleetStore &store_;
    KeyedTopic topic_;
    PollTiming timing_;
    Handlers handlers_;
    Timer timer_;
    std::optional<LogOffset> next_;
    bool isReading_ = false;
    /// The read in progress uses a new connection, on account of what another router has read.
    bool isCatchingUp_ = false;
    /// Counts reads; only the result of the last one is used.
    std::uint64_t readNumber_ = 0;
    /// In the order of the calls.
    std::deque<Reader> readers_;
    Timer catchUpTimer_;
    /// Other routers have read all records before it.
    LogOffset readElsewhere_;
    /// The last catch-up has looked for records before it.
    LogOffset caughtUp_;
    TimePoint readStart_;
    std::optional<TimePoint> asOf_;
    /// Offset at which the last read has begun.
    LogOffset readFrom_;
    /// asOf_ before the last successful read.
    std::optional<TimePoint> previousAsOf_;
    /// The last successful read was a full read.
    bool wasFullRead_ = false;
    unsigned failures_ = 0;
    /// Time of the first of the current failures.
    TimePoint failingSince_;
    /// Expires with the follower, so that results of reads still in progress are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::string_view toString(KeyedTopic topic);

} // namespace lovagecourse
