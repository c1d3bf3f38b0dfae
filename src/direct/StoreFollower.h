#pragma once

#include "core/EventLoop.h"
#include "direct/FleetStore.h"

#include <memory>

namespace lovagecourse {

/// How often and how patiently a topic is read.
struct FollowPace
{
    /// Between the ends of two reads.
    milliseconds pause{0};
    /// How long the store may wait for a record.
    milliseconds wait{0};
};

/// Follows one topic: reads all keys first, then what is new; starts over when records expired.
class StoreFollower
{
public:
    struct Handlers
    {
        /// All keys that the topic holds.
        std::function<void(const std::vector<KeyedRecord> &)> onAll;
        /// Records in order, and the range of offsets that they fill. After all keys were read, the
        /// first range may hold changes that came with them already; it begins at its own end.
        std::function<void(const std::vector<KeyedRecord> &, LogOffset from, LogOffset to)>
                onChanges;
        /// A read brought nothing; next is the offset that it began at.
        std::function<void(LogOffset next)> onNothing;
        /// The store answers again after failures.
        std::function<void()> onReturned;
    };

    StoreFollower(EventLoop &loop, const Clock &clock, FleetStore &store, KeyedTopic topic,
                  FollowPace pace, Handlers handlers);

    void start();
    /// Another daemon has read these records a moment ago and found no change in them, so this one
    /// need not read them if it has all before them.
    void onUnchanged(LogOffset from, LogOffset to);
    /// True while the last read failed.
    bool isAway() const { return failures_ > 0; }

private:
    void read();
    void onResult(const KeyedResult &result, bool isAll);
    void onFault(StoreFault fault);

    const Clock &clock_;
    FleetStore &store_;
    KeyedTopic topic_;
    FollowPace pace_;
    Handlers handlers_;
    Timer timer_;
    std::optional<LogOffset> next_;
    bool isReading_ = false;
    /// The last answer gave all keys.
    bool wasAll_ = false;
    unsigned failures_ = 0;
    TimePoint lostAt_;
    /// Results of reads that were started before the follower ended are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

std::string_view toString(KeyedTopic topic);

} // namespace lovagecourse
