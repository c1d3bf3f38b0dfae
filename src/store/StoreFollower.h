#pragma once

#include "core/EventLoop.h"
#include "store/FleetStore.h"
#include "store/PollTiming.h"

#include <deque>
#include <functional>
#include <memory>

namespace lovagecourse {

/// Follows one topic of the store: reads the newest record of every key first, then new records.
/// Retries failed reads, and starts over when the next records have expired or when the store has
/// come back from an older copy.
class StoreFollower
{
public:
    struct Handlers
    {
        /// The store has come back from an older copy since the last read; called before
        /// onFullRead, whose records may lack changes that were read earlier.
        std::function<void()> onOlderCopy = [] {};
        /// Newest records of all keys of the topic.
        std::function<void(const std::vector<KeyedRecord> &)> onFullRead;
        /// New records in order, and the range of offsets that they cover. For the first read after
        /// a full read the range is empty (from equals to), because the full read may have returned
        /// some of these records already.
        std::function<void(const std::vector<KeyedRecord> &, const StorePosition &from,
                           const StorePosition &to)>
                onRecords;
        /// A read returned no records; next is the position at which it began.
        std::function<void(const StorePosition &next)> onEmptyRead;
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
    /// The store's era has changed, as the answer to another call shows. Starts over unless this
    /// follower has read the new era already; a read in progress may still return it.
    void onEraChanged(std::optional<StoreEra> era);
    /// Another router has read this range of records and found no change in it. Skips the range and
    /// postpones the next read, if this follower has read all records before it; returns whether it
    /// has. asOf: start of the other router's read.
    bool skipUnchanged(const StorePosition &from, const StorePosition &to, TimePoint asOf);
    /// Another router has read this range of records and passes on those that are changes. Returns
    /// true if this follower continues after the range, so that the caller must apply them. Unlike
    /// a range without changes, it must begin where this follower is: an older change must not
    /// follow a newer one. Also while a read of this follower is in progress or has failed.
    bool takeOver(const StorePosition &from, const StorePosition &to, TimePoint asOf);
    /// Another router has read all records before this position. If this follower does not get them
    /// within the catch-up delay, it reads on a new connection beside the read in progress, whose
    /// connection may be silent; the first answer counts. So also if the position is of a later
    /// era, of which only an answer of the store decides.
    void onReadElsewhere(const StorePosition &next);
    /// Calls onRead with true as soon as all records that were written before this call are
    /// applied: after a read that begins after the call, at once or after the one in progress. With
    /// false if that read fails. Calls share a read; after a failure they wait for the next retry.
    void readNow(std::function<void(bool isCurrent)> onRead);
    /// Answers the callers of readNow() with false.
    void cancelReaders();
    /// Start of the last read whose records are applied, by this follower or by the router that
    /// passed them on. Changes from before it are known. Empty before the first read.
    std::optional<TimePoint> asOf() const { return asOf_; }
    /// Position after the last record that is applied. Empty before the first read, and from a
    /// change of the store's era until the full read.
    std::optional<StorePosition> next() const { return next_; }
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
    void scheduleFullRead();
    bool canSkip() const;
    void setCurrent(const StorePosition &next, TimePoint asOf);
    void scheduleRead();
    void answerReaders(const KeyedResult &result, std::uint64_t number, bool isLast);
    std::vector<std::function<void(bool)>> takeReaders(std::uint64_t number);

    const Clock &clock_;
    FleetStore &store_;
    KeyedTopic topic_;
    PollTiming timing_;
    Handlers handlers_;
    Timer timer_;
    std::optional<StorePosition> next_;
    bool isReading_ = false;
    /// The read in progress uses a new connection, on account of what another router has read.
    bool isCatchingUp_ = false;
    /// Counts reads; only the result of the last one is used.
    std::uint64_t readNumber_ = 0;
    /// In the order of the calls.
    std::deque<Reader> readers_;
    Timer catchUpTimer_;
    /// Other routers have read all records before it.
    std::optional<StorePosition> readElsewhere_;
    /// The last catch-up has looked for records before it.
    std::optional<StorePosition> caughtUp_;
    TimePoint readStart_;
    std::optional<TimePoint> asOf_;
    /// Position at which the last read has begun; empty for a full read.
    std::optional<StorePosition> readFrom_;
    /// Where the last successful read has ended, also after a change of the era.
    std::optional<StorePosition> lastNext_;
    /// Reads that a change of the era has ended, since the last one from a position that was
    /// answered.
    unsigned endedReads_ = 0;
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
