#include "direct/StoreFollower.h"

#include <catch2/catch.hpp>

#include <deque>
#include <limits>

using namespace lovagecourse;

namespace {

constexpr PollTiming everyMillisecond{.interval = milliseconds(1)};
constexpr PollTiming every40Milliseconds{.interval = milliseconds(40)};

/// Store of which only the reads are used.
class ReadOnlyStore : public FleetStore
{
public:
    void append(KeyedTopic, const std::string &, const std::string &, milliseconds,
                std::function<void(const WriteResult &)>) override
    {}
};

/// Store that answers with prepared results and records the calls.
class ScriptedStore final : public ReadOnlyStore
{
public:
    void readNewest(KeyedTopic, milliseconds,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        calls.emplace_back("all");
        answer(onDone);
    }
    void readFrom(KeyedTopic, LogOffset from, const ReadOptions &,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        calls.push_back("from " + std::to_string(from.value));
        answer(onDone);
    }
    std::deque<KeyedResult> results;
    std::vector<std::string> calls;

private:
    void answer(const std::function<void(const KeyedResult &)> &onDone)
    {
        if (results.empty())
            return;
        const KeyedResult result = results.front();
        results.pop_front();
        onDone(result);
    }
};

/// Store whose answers are handled late.
class DelayingStore final : public ReadOnlyStore
{
public:
    DelayingStore(EventLoop &loop, const Clock &clock, milliseconds delay)
        : loop_(loop)
        , clock_(clock)
        , delay_(delay)
    {}

    void readNewest(KeyedTopic, milliseconds,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        answer(onDone);
    }
    void readFrom(KeyedTopic, LogOffset, const ReadOptions &,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        answer(onDone);
    }
    std::vector<TimePoint> starts;

private:
    void answer(const std::function<void(const KeyedResult &)> &onDone)
    {
        starts.push_back(clock_.now());
        timer_ = std::make_unique<Timer>(loop_, [onDone] { onDone(KeyedBatch{{}, LogOffset(7)}); });
        timer_->startOnce(delay_);
    }

    EventLoop &loop_;
    const Clock &clock_;
    milliseconds delay_;
    std::unique_ptr<Timer> timer_;
};

/// Store that answers the full read at once and other reads when the test says so.
class HeldStore final : public ReadOnlyStore
{
public:
    void readNewest(KeyedTopic, milliseconds,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        onDone(KeyedBatch{{}, LogOffset(7)});
    }
    void readFrom(KeyedTopic, LogOffset from, const ReadOptions &options,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        offsets.push_back(from.value);
        isFresh = options.freshConnection;
        pending = std::move(onDone);
    }
    std::vector<std::uint64_t> offsets;
    bool isFresh = false;
    std::function<void(const KeyedResult &)> pending;
};

/// Store that is silent after the full read, for a number of calls or until its return. Calls that
/// begin later are answered. Times out as the real client does.
class SilentStore final : public ReadOnlyStore
{
public:
    explicit SilentStore(EventLoop &loop, int silentReads = std::numeric_limits<int>::max())
        : loop_(loop)
        , silentReads_(silentReads)
    {}

    void readNewest(KeyedTopic, milliseconds,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        onDone(KeyedBatch{{}, LogOffset(7)});
    }
    void readFrom(KeyedTopic, LogOffset, const ReadOptions &options,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        ++reads;
        if (isBack || reads > silentReads_) {
            onDone(KeyedBatch{{KeyedRecord{"k", "v", {}}}, LogOffset(8)});
            return;
        }
        timeout_ = std::make_unique<Timer>(loop_, [onDone] { onDone(StoreFault::NoAnswer); });
        timeout_->startOnce(options.timeout);
    }

    int reads = 0;
    bool isBack = false;

private:
    EventLoop &loop_;
    int silentReads_;
    std::unique_ptr<Timer> timeout_;
};

struct StoreFollowerFixture
{
    EventLoop loop;
    SystemClock clock;
    ScriptedStore store;
    int fullReads = 0;
    int recordReads = 0;
    int recoveries = 0;
    int historyLosses = 0;

    /// Handlers that ignore everything.
    static StoreFollower::Handlers ignoringHandlers()
    {
        StoreFollower::Handlers handlers;
        handlers.onFullRead = [](const auto &) {};
        handlers.onRecords = [](const auto &, LogOffset, LogOffset) {};
        handlers.onEmptyRead = [](LogOffset) {};
        handlers.onStoreReturned = [](auto) {};
        return handlers;
    }

    void runFor(milliseconds time)
    {
        Timer timer(loop, [this] { loop.stop(); });
        timer.startOnce(time);
        loop.run();
    }

    void follow(milliseconds time, KeyedTopic topic = KeyedTopic::Servers)
    {
        StoreFollower::Handlers handlers = ignoringHandlers();
        handlers.onFullRead = [this](const auto &) { ++fullReads; };
        handlers.onRecords = [this](const auto &, LogOffset, LogOffset) { ++recordReads; };
        handlers.onStoreReturned = [this](auto) { ++recoveries; };
        handlers.onHistoryLost = [this] { ++historyLosses; };
        StoreFollower follower(loop, clock, store, topic, everyMillisecond, std::move(handlers));
        follower.start();
        runFor(time);
    }

    static KeyedBatch batch(std::uint64_t next, std::size_t records)
    {
        return KeyedBatch{std::vector<KeyedRecord>(records, KeyedRecord{"k", "v", {}}),
                          LogOffset(next)};
    }
};

} // namespace

// Guards against changes that are lost between the full read and the next read.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, full read done, continues at its end offset")
{
    store.results = {batch(7, 2), batch(9, 2), batch(9, 0)};
    follow(milliseconds(100));
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "from 9", "from 9"});
    CHECK(fullReads == 1);
    CHECK(recordReads == 1);
}

// Guards against a follower that is stuck when its next record has expired in the store.
TEST_CASE_METHOD(StoreFollowerFixture, "store follower, records expired, does a full read again")
{
    store.results = {batch(7, 1), StoreFault::Expired, batch(50, 3)};
    follow(milliseconds(100));
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "all", "from 50"});
    CHECK(fullReads == 2);
}

// Guards against a router that reads no configuration any more after the store has lost its
// records, and against one that drops its servers then, which have not registered again yet.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, history lost, reads all configuration again")
{
    store.results = {batch(7, 1), StoreFault::HistoryLost, batch(2, 1)};
    follow(milliseconds(100), KeyedTopic::Configuration);
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "all", "from 2"});
    store.calls.clear();
    store.results = {batch(7, 1), StoreFault::HistoryLost, batch(9, 1)};
    follow(milliseconds(600));
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "from 7", "from 9"});
    // Records between 7 and 9 may be others than the lost ones.
    CHECK(historyLosses == 2);
}

// Guards against a follower that stops, or loses its offset, after a failed read.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, reads fail, retries and reports the recovery")
{
    store.results = {batch(7, 1), StoreFault::NoAnswer, StoreFault::Unavailable, batch(8, 1)};
    follow(milliseconds(600));
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "from 7", "from 7", "from 8"});
    CHECK(recoveries == 1);
}

// Guards against every router reading every heartbeat, and against records that are skipped
// although this follower has not read the records before them.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, other router found no change, continues after that range")
{
    store.results = {batch(7, 1), batch(30, 1)};
    StoreFollower follower(loop, clock, store, KeyedTopic::Servers, every40Milliseconds,
                           ignoringHandlers());
    follower.start();
    // Begins after this follower's offset: a record between them may be a change.
    follower.skipUnchanged(LogOffset(9), LogOffset(11), clock.now());
    // Ends before this follower's offset.
    follower.skipUnchanged(LogOffset(2), LogOffset(5), clock.now());
    follower.skipUnchanged(LogOffset(6), LogOffset(20), clock.now());
    runFor(milliseconds(60));
    CHECK(store.calls == std::vector<std::string>{"all", "from 20"});
}

// Guards against a follower that does not detect the store's recovery because the announcements of
// other routers postpone its own reads.
TEST_CASE_METHOD(StoreFollowerFixture, "store follower, last read failed, ignores announcements")
{
    store.results = {batch(7, 1), StoreFault::NoAnswer, batch(9, 1)};
    StoreFollower::Handlers handlers = ignoringHandlers();
    handlers.onStoreReturned = [this](auto) { ++recoveries; };
    StoreFollower follower(loop, clock, store, KeyedTopic::Servers, everyMillisecond,
                           std::move(handlers));
    follower.start();
    Timer other(loop, [&] { follower.skipUnchanged(LogOffset(7), LogOffset(9), clock.now()); });
    other.startOnce(milliseconds(20));
    runFor(milliseconds(200));
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "from 7", "from 9"});
    CHECK(recoveries == 1);
}

// Guards against a change that a full read has already returned: the next read finds no change in
// its record, and other routers would skip it.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, first read after a full read, reports an empty range")
{
    store.results = {batch(7, 2), batch(9, 2), batch(12, 1)};
    std::vector<std::pair<std::uint64_t, std::uint64_t>> ranges;
    StoreFollower::Handlers handlers = ignoringHandlers();
    handlers.onRecords = [&](const auto &, LogOffset from, LogOffset to) {
        ranges.emplace_back(from.value, to.value);
    };
    StoreFollower follower(loop, clock, store, KeyedTopic::Servers, everyMillisecond,
                           std::move(handlers));
    follower.start();
    runFor(milliseconds(60));
    CHECK(ranges == std::vector<std::pair<std::uint64_t, std::uint64_t>>{{9, 9}, {9, 12}});
}

// Guards against an older change that is applied after a newer one, and against records that are
// skipped without having been applied.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, other router passes on changes, takes over only what comes next")
{
    store.results = {batch(7, 1)};
    StoreFollower follower(loop, clock, store, KeyedTopic::Servers, every40Milliseconds,
                           ignoringHandlers());
    CHECK_FALSE(follower.takeOver(LogOffset(7), LogOffset(9), clock.now()));
    follower.start();
    CHECK_FALSE(follower.takeOver(LogOffset(8), LogOffset(11), clock.now()));
    CHECK_FALSE(follower.takeOver(LogOffset(6), LogOffset(11), clock.now()));
    CHECK_FALSE(follower.takeOver(LogOffset(7), LogOffset(7), clock.now()));
    CHECK(follower.takeOver(LogOffset(7), LogOffset(11), clock.now()));
    CHECK_FALSE(follower.takeOver(LogOffset(7), LogOffset(11), clock.now()));
    CHECK(follower.takeOver(LogOffset(11), LogOffset(14), clock.now()));
    runFor(milliseconds(60));
    CHECK(store.calls == std::vector<std::string>{"all", "from 14"});
}

// Guards against changes that are in force late because one read gets no answer.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, connection to the store silent, reads a change within its bound")
{
    constexpr milliseconds maxDelay{400};
    const PollTiming timing =
            GENERATE_COPY(configurationPollTiming(maxDelay), serversPollTiming(maxDelay, 1));
    SilentStore silentStore(loop, 1);
    TimePoint fullRead;
    std::optional<TimePoint> applied;
    StoreFollower::Handlers handlers = ignoringHandlers();
    handlers.onFullRead = [&](const auto &) { fullRead = clock.now(); };
    handlers.onRecords = [&](const auto &, LogOffset, LogOffset) {
        applied = clock.now();
        loop.stop();
    };
    StoreFollower follower(loop, clock, silentStore, KeyedTopic::Servers, timing,
                           std::move(handlers));
    follower.start();
    runFor(4 * maxDelay);
    REQUIRE(applied);
    // The change was written just after the full read.
    CHECK(*applied - fullRead < maxDelay);
}

// Guards against reads that are late by as much as the process or the router that announces is.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, answer or announcement handled late, reads in time")
{
    StoreFollower::Handlers handlers = ignoringHandlers();
    constexpr PollTiming timing{.interval = milliseconds(200)};
    DelayingStore delayingStore(loop, clock, milliseconds(150));
    StoreFollower follower(loop, clock, delayingStore, KeyedTopic::Servers, timing,
                           std::move(handlers));
    follower.start();
    Timer announcement(loop, [&] {
        follower.skipUnchanged(LogOffset(7), LogOffset(9), clock.now() - milliseconds(150));
    });
    announcement.startOnce(milliseconds(180));
    runFor(milliseconds(330));
    // Starts at 0 ms; the announced read began at 30 ms.
    REQUIRE(delayingStore.starts.size() == 2);
    CHECK(delayingStore.starts[1] - delayingStore.starts[0] < milliseconds(280));
}

// Guards against a change that a router learns late although another router has told it, because
// its own read gets no answer, and against an older change that its answer brings back.
TEST_CASE_METHOD(
        StoreFollowerFixture,
        "store follower, own read is silent or failed, takes over changes of other routers")
{
    HeldStore heldStore;
    std::vector<std::uint64_t> applied;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> ranges;
    StoreFollower::Handlers handlers = ignoringHandlers();
    handlers.onRecords = [&](const auto &records, LogOffset from, LogOffset to) {
        for (const KeyedRecord &record : records)
            applied.push_back(record.offset.value);
        ranges.emplace_back(from.value, to.value);
    };
    std::optional<std::chrono::nanoseconds> unread;
    handlers.onStoreReturned = [&](std::chrono::nanoseconds time) { unread = time; };
    StoreFollower follower(loop, clock, heldStore, KeyedTopic::Servers, everyMillisecond,
                           std::move(handlers));
    follower.start();
    runFor(milliseconds(10));
    REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7});
    heldStore.pending(KeyedBatch{{}, LogOffset(7)});
    runFor(milliseconds(10));
    REQUIRE(heldStore.offsets.size() == 2);
    const TimePoint told = clock.now();
    CHECK(follower.takeOver(LogOffset(7), LogOffset(9), told));
    CHECK(follower.asOf() == told);
    SECTION("the answer comes late")
    {
        heldStore.pending(
                KeyedBatch{{KeyedRecord{"a", "1", LogOffset(7)}, KeyedRecord{"a", {}, LogOffset(8)},
                            KeyedRecord{"b", "1", LogOffset(9)}},
                           LogOffset(10)});
        CHECK(applied == std::vector<std::uint64_t>{9});
        CHECK(ranges == std::vector<std::pair<std::uint64_t, std::uint64_t>>{{9, 10}});
    }
    SECTION("the answer ends before")
    {
        heldStore.pending(KeyedBatch{{KeyedRecord{"a", "1", LogOffset(7)}}, LogOffset(8)});
        CHECK(applied.empty());
    }
    SECTION("the read fails")
    {
        heldStore.pending(StoreFault::NoAnswer);
        CHECK(follower.takeOver(LogOffset(9), LogOffset(10), clock.now()));
        runFor(milliseconds(150));
        REQUIRE(heldStore.offsets.size() == 3);
        CHECK(follower.takeOver(LogOffset(10), LogOffset(11), clock.now()));
        heldStore.pending(KeyedBatch{{}, LogOffset(11)});
        CHECK(unread == std::chrono::nanoseconds(0));
        return;
    }
    runFor(milliseconds(150));
    REQUIRE(heldStore.offsets.size() == 3);
    CHECK(heldStore.offsets.back() >= 9);
}

// Guards against a change that is in force late because a read from before the store's return goes
// on after it.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, store returns during a read, reads a change within its bound")
{
    constexpr milliseconds maxDelay{400};
    const PollTiming timing =
            GENERATE_COPY(configurationPollTiming(maxDelay), serversPollTiming(maxDelay, 1));
    // The read that begins just before the return.
    const int lastSilentRead = GENERATE(1, 2, 5);
    SilentStore silentStore(loop);
    std::optional<TimePoint> applied;
    StoreFollower::Handlers handlers = ignoringHandlers();
    handlers.onRecords = [&](const auto &, LogOffset, LogOffset) {
        applied = clock.now();
        loop.stop();
    };
    StoreFollower follower(loop, clock, silentStore, KeyedTopic::Servers, timing,
                           std::move(handlers));
    follower.start();
    const TimePoint limit = clock.now() + seconds(10);
    while (silentStore.reads < lastSilentRead && clock.now() < limit)
        ev_run(loop.handle(), EVRUN_ONCE);
    REQUIRE(silentStore.reads == lastSilentRead);
    const TimePoint returned = clock.now();
    silentStore.isBack = true;
    runFor(4 * maxDelay);
    REQUIRE(applied);
    CHECK(*applied - returned < maxDelay);
}

// Guards against a change that is in force late at a router whose connection to the store is silent
// although the other routers have read it.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, other router has read more, reads at once on a new connection")
{
    HeldStore heldStore;
    std::vector<std::uint64_t> applied;
    StoreFollower::Handlers handlers = ignoringHandlers();
    handlers.onRecords = [&](const auto &records, LogOffset, LogOffset) {
        for (const KeyedRecord &record : records)
            applied.push_back(record.offset.value);
    };
    constexpr PollTiming timing{.longPollWait = seconds(5), .catchUpDelay = milliseconds(30)};
    StoreFollower follower(loop, clock, heldStore, KeyedTopic::Configuration, timing,
                           std::move(handlers));
    follower.onReadElsewhere(LogOffset(9));
    follower.start();
    runFor(milliseconds(60));
    REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7});
    const auto silent = std::exchange(heldStore.pending, nullptr);
    const KeyedBatch answer{
            {KeyedRecord{"a", "1", LogOffset(7)}, KeyedRecord{"a", "2", LogOffset(8)}},
            LogOffset(9)};
    SECTION("nothing new, the read goes on")
    {
        follower.onReadElsewhere(LogOffset(7));
        runFor(milliseconds(60));
        CHECK(heldStore.offsets.size() == 1);
    }
    SECTION("the own answer comes meanwhile, no further read")
    {
        follower.onReadElsewhere(LogOffset(9));
        silent(answer);
        CHECK(applied == std::vector<std::uint64_t>{7, 8});
        runFor(milliseconds(60));
        CHECK(heldStore.offsets == std::vector<std::uint64_t>{7, 9});
        CHECK_FALSE(heldStore.isFresh);
    }
    SECTION("the own answer does not come, reads again, ignores a late answer")
    {
        follower.onReadElsewhere(LogOffset(9));
        follower.onReadElsewhere(LogOffset(8));
        runFor(milliseconds(60));
        REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7, 7});
        CHECK(heldStore.isFresh);
        const auto second = std::exchange(heldStore.pending, nullptr);
        second(answer);
        CHECK(applied == std::vector<std::uint64_t>{7, 8});
        silent(answer);
        silent(StoreFault::NoAnswer);
        CHECK(applied.size() == 2);
        CHECK_FALSE(follower.isFailing());
        runFor(milliseconds(60));
        CHECK(heldStore.offsets == std::vector<std::uint64_t>{7, 7, 9});
    }
    SECTION("changes follow each other, a read on a new connection is not given up")
    {
        follower.onReadElsewhere(LogOffset(9));
        for (std::uint64_t next = 10; next < 16; ++next) {
            runFor(milliseconds(40));
            follower.onReadElsewhere(LogOffset(next));
        }
        REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7, 7});
        std::exchange(heldStore.pending, nullptr)(answer);
        CHECK(applied == std::vector<std::uint64_t>{7, 8});
        // What was announced meanwhile is caught up with as well.
        runFor(milliseconds(60));
        REQUIRE(heldStore.offsets.size() == 4);
        CHECK(heldStore.offsets.back() == 9);
        CHECK(heldStore.isFresh);
    }
    SECTION("the own answer comes after the further read has begun, is used")
    {
        follower.onReadElsewhere(LogOffset(9));
        runFor(milliseconds(60));
        REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7, 7});
        silent(answer);
        CHECK(applied == std::vector<std::uint64_t>{7, 8});
        CHECK(follower.next() == LogOffset(9));
        std::exchange(heldStore.pending, nullptr)(KeyedBatch{{KeyedRecord{"a", "1", LogOffset(7)},
                                                              KeyedRecord{"a", "2", LogOffset(8)},
                                                              KeyedRecord{"b", "1", LogOffset(9)}},
                                                             LogOffset(10)});
        CHECK(applied == std::vector<std::uint64_t>{7, 8, 9});
    }
    SECTION("another router names records that don't exist, one further read")
    {
        follower.onReadElsewhere(LogOffset(99));
        runFor(milliseconds(60));
        REQUIRE(heldStore.offsets.size() == 2);
        std::exchange(heldStore.pending, nullptr)(answer);
        for (int i = 0; i < 5; ++i) {
            follower.onReadElsewhere(LogOffset(99));
            runFor(milliseconds(40));
        }
        CHECK(heldStore.offsets == std::vector<std::uint64_t>{7, 7, 9});
    }
}

// Guards against a decision that rests on a read from before the question, and against one read for
// each of those that ask at the same time.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, asked to read now, answers after a read that began later")
{
    HeldStore heldStore;
    constexpr PollTiming timing{.interval = seconds(5)};
    std::size_t applied = 0;
    StoreFollower::Handlers handlers = ignoringHandlers();
    handlers.onRecords = [&](const auto &records, LogOffset, LogOffset) {
        applied += records.size();
    };
    StoreFollower follower(loop, clock, heldStore, KeyedTopic::Servers, timing,
                           std::move(handlers));
    follower.start();
    std::vector<std::string> answers;
    const auto ask = [&](const std::string &name) {
        follower.readNow([&, name](bool isCurrent) {
            answers.push_back(name + (isCurrent ? " current " : " unknown ")
                              + std::to_string(applied));
        });
    };
    ask("first");
    ask("second");
    runFor(milliseconds(20));
    REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7});
    ask("third");
    CHECK(answers.empty());
    const KeyedBatch one{{KeyedRecord{"a", "1", LogOffset(7)}}, LogOffset(8)};
    SECTION("the reads succeed")
    {
        std::exchange(heldStore.pending, nullptr)(one);
        CHECK(answers == std::vector<std::string>{"first current 1", "second current 1"});
        // Another router's news don't put the read off.
        CHECK(follower.skipUnchanged(LogOffset(8), LogOffset(9), clock.now()));
        runFor(milliseconds(20));
        REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7, 9});
        std::exchange(heldStore.pending, nullptr)(KeyedBatch{{}, LogOffset(9)});
        CHECK(answers.back() == "third current 1");
        runFor(milliseconds(20));
        CHECK(heldStore.offsets.size() == 2);
    }
    SECTION("the answer has a part of the records, reads the rest first")
    {
        std::exchange(heldStore.pending, nullptr)(KeyedBatch{one.records, one.next, false});
        CHECK(answers.empty());
        runFor(milliseconds(20));
        REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7, 8});
        std::exchange(heldStore.pending,
                      nullptr)(KeyedBatch{{KeyedRecord{"b", "1", LogOffset(8)}}, LogOffset(9)});
        CHECK(answers
              == std::vector<std::string>{"first current 2", "second current 2",
                                          "third current 2"});
    }
    SECTION("the read fails, the next one is the retry")
    {
        const bool isExpired = GENERATE(false, true);
        std::exchange(heldStore.pending,
                      nullptr)(isExpired ? StoreFault::Expired : StoreFault::Unavailable);
        CHECK(answers == std::vector<std::string>{"first unknown 0", "second unknown 0"});
        runFor(milliseconds(20));
        if (isExpired) {
            CHECK(answers.back() == "third current 0");
            return;
        }
        CHECK(heldStore.offsets.size() == 1);
        runFor(milliseconds(120));
        REQUIRE(heldStore.offsets.size() == 2);
        std::exchange(heldStore.pending, nullptr)(one);
        CHECK(answers.back() == "third current 1");
    }
    SECTION("the follower starts over, answers after the full read")
    {
        follower.startOver();
        CHECK(answers.size() == 3);
        CHECK(answers.back() == "third current 0");
    }
    SECTION("the follower is given up")
    {
        follower.cancelReaders();
        CHECK(answers.size() == 3);
        CHECK(answers.back() == "third unknown 0");
        std::exchange(heldStore.pending, nullptr)(one);
        CHECK(answers.size() == 3);
    }
}
