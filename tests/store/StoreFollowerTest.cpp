#include "store/StoreFollower.h"

#include "store/Positions.h"

#include <catch2/catch.hpp>

#include <deque>
#include <limits>

using namespace lovagecourse;
using test::at;
using test::inEra;

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
    void readNewest(KeyedTopic, const ReadOptions &,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        calls.emplace_back("all");
        answer(onDone);
    }
    void readFrom(KeyedTopic, const StorePosition &from, const ReadOptions &,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        calls.push_back("from " + std::to_string(from.offset.value));
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

    void readNewest(KeyedTopic, const ReadOptions &,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        answer(onDone);
    }
    void readFrom(KeyedTopic, const StorePosition &, const ReadOptions &,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        answer(onDone);
    }
    std::vector<TimePoint> starts;

private:
    void answer(const std::function<void(const KeyedResult &)> &onDone)
    {
        starts.push_back(clock_.now());
        timer_ = std::make_unique<Timer>(loop_, [onDone] { onDone(KeyedBatch{{}, at(7)}); });
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
    void readNewest(KeyedTopic, const ReadOptions &,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        onDone(KeyedBatch{{}, at(7)});
    }
    void readFrom(KeyedTopic, const StorePosition &from, const ReadOptions &options,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        offsets.push_back(from.offset.value);
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

    void readNewest(KeyedTopic, const ReadOptions &,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        onDone(KeyedBatch{{}, at(7)});
    }
    void readFrom(KeyedTopic, const StorePosition &, const ReadOptions &options,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        ++reads;
        if (isBack || reads > silentReads_) {
            onDone(KeyedBatch{{KeyedRecord{"k", "v", {}}}, at(8)});
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
        handlers.onRecords = [](const auto &, const auto &, const auto &) {};
        handlers.onEmptyRead = [](const auto &) {};
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
        handlers.onRecords = [this](const auto &, const auto &, const auto &) { ++recordReads; };
        handlers.onStoreReturned = [this](auto) { ++recoveries; };
        handlers.onHistoryLost = [this] { ++historyLosses; };
        StoreFollower follower(loop, clock, store, topic, everyMillisecond, std::move(handlers));
        follower.start();
        runFor(time);
    }

    static KeyedBatch batch(std::uint64_t next, std::size_t records)
    {
        return KeyedBatch{std::vector<KeyedRecord>(records, KeyedRecord{"k", "v", {}}), at(next)};
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
    follower.skipUnchanged(at(9), at(11), clock.now());
    // Ends before this follower's offset.
    follower.skipUnchanged(at(2), at(5), clock.now());
    follower.skipUnchanged(at(6), at(20), clock.now());
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
    Timer other(loop, [&] { follower.skipUnchanged(at(7), at(9), clock.now()); });
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
    handlers.onRecords = [&](const auto &, const StorePosition &from, const StorePosition &to) {
        ranges.emplace_back(from.offset.value, to.offset.value);
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
    CHECK_FALSE(follower.takeOver(at(7), at(9), clock.now()));
    follower.start();
    CHECK_FALSE(follower.takeOver(at(8), at(11), clock.now()));
    CHECK_FALSE(follower.takeOver(at(6), at(11), clock.now()));
    CHECK_FALSE(follower.takeOver(at(7), at(7), clock.now()));
    CHECK(follower.takeOver(at(7), at(11), clock.now()));
    CHECK_FALSE(follower.takeOver(at(7), at(11), clock.now()));
    CHECK(follower.takeOver(at(11), at(14), clock.now()));
    runFor(milliseconds(60));
    CHECK(store.calls == std::vector<std::string>{"all", "from 14"});
}

// Guards against changes that are in force late because one read gets no answer.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, connection to the store silent, reads a change within its bound")
{
    constexpr milliseconds maxDelay{400};
    const PollTiming timing =
            GENERATE_COPY(configurationPollTiming(maxDelay, 1), serversPollTiming(maxDelay, 1));
    SilentStore silentStore(loop, 1);
    TimePoint fullRead;
    std::optional<TimePoint> applied;
    StoreFollower::Handlers handlers = ignoringHandlers();
    handlers.onFullRead = [&](const auto &) { fullRead = clock.now(); };
    handlers.onRecords = [&](const auto &, const auto &, const auto &) {
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
    Timer announcement(
            loop, [&] { follower.skipUnchanged(at(7), at(9), clock.now() - milliseconds(150)); });
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
    handlers.onRecords = [&](const auto &records, const StorePosition &from,
                             const StorePosition &to) {
        for (const KeyedRecord &record : records)
            applied.push_back(record.offset.value);
        ranges.emplace_back(from.offset.value, to.offset.value);
    };
    std::optional<std::chrono::nanoseconds> unread;
    handlers.onStoreReturned = [&](std::chrono::nanoseconds time) { unread = time; };
    StoreFollower follower(loop, clock, heldStore, KeyedTopic::Servers, everyMillisecond,
                           std::move(handlers));
    follower.start();
    runFor(milliseconds(10));
    REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7});
    heldStore.pending(KeyedBatch{{}, at(7)});
    runFor(milliseconds(10));
    REQUIRE(heldStore.offsets.size() == 2);
    const TimePoint told = clock.now();
    CHECK(follower.takeOver(at(7), at(9), told));
    CHECK(follower.asOf() == told);
    SECTION("the answer comes late")
    {
        heldStore.pending(
                KeyedBatch{{KeyedRecord{"a", "1", LogOffset(7)}, KeyedRecord{"a", {}, LogOffset(8)},
                            KeyedRecord{"b", "1", LogOffset(9)}},
                           at(10)});
        CHECK(applied == std::vector<std::uint64_t>{9});
        CHECK(ranges == std::vector<std::pair<std::uint64_t, std::uint64_t>>{{9, 10}});
    }
    SECTION("the answer ends before")
    {
        heldStore.pending(KeyedBatch{{KeyedRecord{"a", "1", LogOffset(7)}}, at(8)});
        CHECK(applied.empty());
    }
    SECTION("the read fails")
    {
        heldStore.pending(StoreFault::NoAnswer);
        CHECK(follower.takeOver(at(9), at(10), clock.now()));
        runFor(milliseconds(150));
        REQUIRE(heldStore.offsets.size() == 3);
        CHECK(follower.takeOver(at(10), at(11), clock.now()));
        heldStore.pending(KeyedBatch{{}, at(11)});
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
            GENERATE_COPY(configurationPollTiming(maxDelay, 1), serversPollTiming(maxDelay, 1));
    // The read that begins just before the return.
    const int lastSilentRead = GENERATE(1, 2, 5);
    SilentStore silentStore(loop);
    std::optional<TimePoint> applied;
    StoreFollower::Handlers handlers = ignoringHandlers();
    handlers.onRecords = [&](const auto &, const auto &, const auto &) {
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
    handlers.onRecords = [&](const auto &records, const auto &, const auto &) {
        for (const KeyedRecord &record : records)
            applied.push_back(record.offset.value);
    };
    constexpr PollTiming timing{.longPollWait = seconds(5), .catchUpDelay = milliseconds(30)};
    StoreFollower follower(loop, clock, heldStore, KeyedTopic::Configuration, timing,
                           std::move(handlers));
    follower.onReadElsewhere(at(9));
    follower.start();
    runFor(milliseconds(60));
    REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7});
    const auto silent = std::exchange(heldStore.pending, nullptr);
    const KeyedBatch answer{
            {KeyedRecord{"a", "1", LogOffset(7)}, KeyedRecord{"a", "2", LogOffset(8)}}, at(9)};
    SECTION("nothing new, the read goes on")
    {
        follower.onReadElsewhere(at(7));
        runFor(milliseconds(60));
        CHECK(heldStore.offsets.size() == 1);
    }
    SECTION("the own answer comes meanwhile, no further read")
    {
        follower.onReadElsewhere(at(9));
        silent(answer);
        CHECK(applied == std::vector<std::uint64_t>{7, 8});
        runFor(milliseconds(60));
        CHECK(heldStore.offsets == std::vector<std::uint64_t>{7, 9});
        CHECK_FALSE(heldStore.isFresh);
    }
    SECTION("the own answer does not come, reads again, ignores a late answer")
    {
        follower.onReadElsewhere(at(9));
        follower.onReadElsewhere(at(8));
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
        follower.onReadElsewhere(at(9));
        for (std::uint64_t next = 10; next < 16; ++next) {
            runFor(milliseconds(40));
            follower.onReadElsewhere(at(next));
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
        follower.onReadElsewhere(at(9));
        runFor(milliseconds(60));
        REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7, 7});
        silent(answer);
        CHECK(applied == std::vector<std::uint64_t>{7, 8});
        CHECK(follower.next() == at(9));
        std::exchange(heldStore.pending, nullptr)(KeyedBatch{{KeyedRecord{"a", "1", LogOffset(7)},
                                                              KeyedRecord{"a", "2", LogOffset(8)},
                                                              KeyedRecord{"b", "1", LogOffset(9)}},
                                                             at(10)});
        CHECK(applied == std::vector<std::uint64_t>{7, 8, 9});
    }
    SECTION("another router names records that don't exist, one further read")
    {
        follower.onReadElsewhere(at(99));
        runFor(milliseconds(60));
        REQUIRE(heldStore.offsets.size() == 2);
        std::exchange(heldStore.pending, nullptr)(answer);
        for (int i = 0; i < 5; ++i) {
            follower.onReadElsewhere(at(99));
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
    handlers.onRecords = [&](const auto &records, const auto &, const auto &) {
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
    const KeyedBatch one{{KeyedRecord{"a", "1", LogOffset(7)}}, at(8)};
    SECTION("the reads succeed")
    {
        std::exchange(heldStore.pending, nullptr)(one);
        CHECK(answers == std::vector<std::string>{"first current 1", "second current 1"});
        // Another router's news don't put the read off.
        CHECK(follower.skipUnchanged(at(8), at(9), clock.now()));
        runFor(milliseconds(20));
        REQUIRE(heldStore.offsets == std::vector<std::uint64_t>{7, 9});
        std::exchange(heldStore.pending, nullptr)(KeyedBatch{{}, at(9)});
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
                      nullptr)(KeyedBatch{{KeyedRecord{"b", "1", LogOffset(8)}}, at(9)});
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

namespace {

/// Store whose calls the test answers, each at any time.
class AnswerableStore final : public ReadOnlyStore
{
public:
    struct Call
    {
        /// Empty for a full read.
        std::optional<StorePosition> from;
        bool isFresh = false;
        std::function<void(const KeyedResult &)> answer;
    };

    void readNewest(KeyedTopic, const ReadOptions &options,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        calls.push_back({std::nullopt, options.freshConnection, std::move(onDone)});
    }
    void readFrom(KeyedTopic, const StorePosition &from, const ReadOptions &options,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        calls.push_back({from, options.freshConnection, std::move(onDone)});
    }

    std::vector<Call> calls;
};

/// A follower that has read all records of era 4 before offset 7, and waits for further ones.
struct EraFixture : StoreFollowerFixture
{
    static constexpr PollTiming timing{.interval = milliseconds(1),
                                       .longPollWait = seconds(5),
                                       .firstRetryDelay = milliseconds(40),
                                       .maxRetryDelay = milliseconds(80),
                                       .catchUpDelay = milliseconds(30),
                                       .fullReadDelay = milliseconds(20)};
    AnswerableStore answerable;
    std::vector<std::string> applied;
    StoreFollower follower{loop, clock, answerable, KeyedTopic::Configuration, timing, handlers()};

    EraFixture()
    {
        follower.start();
        answerLast(read(4, 7, "a"));
        runFor(milliseconds(10));
        REQUIRE(answerable.calls.size() == 2);
        applied.clear();
    }

    StoreFollower::Handlers handlers()
    {
        StoreFollower::Handlers result = ignoringHandlers();
        result.onFullRead = [this](const auto &records) {
            for (const KeyedRecord &record : records)
                applied.push_back("all " + record.key);
        };
        result.onRecords = [this](const auto &records, const auto &, const auto &) {
            for (const KeyedRecord &record : records)
                applied.push_back(record.key);
        };
        return result;
    }
    static KeyedBatch read(std::uint64_t era, std::uint64_t next, const std::string &key)
    {
        return KeyedBatch{{KeyedRecord{key, "1", LogOffset(next - 1)}}, inEra(era, next)};
    }
    void answerLast(const KeyedResult &result)
    {
        const auto answer = answerable.calls.back().answer;
        answer(result);
    }
};

} // namespace

// Guards against records that are never read because their offsets were given out a second time.
TEST_CASE_METHOD(EraFixture, "store follower, era has changed, reads the newest records again")
{
    answerLast(StoreFault::EraChanged);
    CHECK_FALSE(follower.next());
    CHECK_FALSE(follower.isFailing());
    runFor(milliseconds(10));
    // Routers read at different times.
    CHECK(answerable.calls.size() == 2);
    runFor(milliseconds(30));
    REQUIRE(answerable.calls.size() == 3);
    CHECK_FALSE(answerable.calls[2].from);
    answerLast(read(5, 7, "b"));
    CHECK(applied == std::vector<std::string>{"all b"});
    CHECK(follower.next() == inEra(5, 7));
    runFor(milliseconds(10));
    REQUIRE(answerable.calls.size() == 4);
    CHECK(answerable.calls[3].from == inEra(5, 7));
}

// Guards against a read on a connection that went silent with the store, which holds up the full
// read, and against its late answer.
TEST_CASE_METHOD(EraFixture,
                 "store follower, another call shows the new era, reads beside the silent read")
{
    follower.onEraChanged(StoreEra(5));
    runFor(milliseconds(40));
    REQUIRE(answerable.calls.size() == 3);
    CHECK_FALSE(answerable.calls[2].from);
    CHECK(answerable.calls[2].isFresh);
    answerable.calls[1].answer(read(4, 8, "late"));
    answerable.calls[1].answer(StoreFault::EraChanged);
    CHECK(applied.empty());
    answerable.calls[2].answer(read(5, 7, "b"));
    CHECK(applied == std::vector<std::string>{"all b"});
    // It has read that era.
    follower.onEraChanged(StoreEra(5));
    CHECK(follower.next() == inEra(5, 7));
}

// Guards against a call for each refusal of a store that has just come back.
TEST_CASE_METHOD(EraFixture,
                 "store follower, refusal shows the new era, keeps the time of the retry")
{
    follower.onEraChanged(StoreEra(5));
    answerLast(StoreFault::Overloaded);
    runFor(milliseconds(30));
    CHECK(answerable.calls.size() == 2);
    follower.onEraChanged(StoreEra(6));
    runFor(milliseconds(30));
    REQUIRE(answerable.calls.size() == 3);
    CHECK_FALSE(answerable.calls[2].from);
}

// Guards against a store that is called without a pause while its era changes during each read.
TEST_CASE_METHOD(EraFixture,
                 "store follower, era changes again and again, pauses between full reads")
{
    std::size_t answered = 1;
    for (int i = 0; i < 30; ++i) {
        if (answered < answerable.calls.size())
            answerLast(StoreFault::EraChanged);
        answered = answerable.calls.size();
        runFor(milliseconds(10));
    }
    // At 20, 80 and 180 ms, and 100 ms after each further one.
    CHECK(answerable.calls.size() <= 6);
    CHECK(answerable.calls.size() >= 4);
}

// Guards against full reads without a pause while only some answers name the era.
TEST_CASE_METHOD(EraFixture,
                 "store follower, answers of two eras by turns, pauses between full reads")
{
    std::size_t answered = 1;
    for (int i = 0; i < 40; ++i) {
        if (answered < answerable.calls.size()) {
            answered = answerable.calls.size();
            const bool isFullRead = !answerable.calls.back().from;
            answerLast(isFullRead ? KeyedResult(KeyedBatch{{}, inEra(5, 7)})
                                  : KeyedResult(StoreFault::EraChanged));
        }
        runFor(milliseconds(10));
    }
    // Full reads at 20 and 80 ms, and 100 ms after each further one, each followed by a read.
    CHECK(answerable.calls.size() <= 14);
    CHECK(answerable.calls.size() >= 6);
}

// Guards against a follower that skips records, or applies them to those of another era, because
// routers notice the store's return at different times.
TEST_CASE_METHOD(EraFixture, "store follower, told of a range of another era, stays where it is")
{
    CHECK_FALSE(follower.takeOver(inEra(5, 7), inEra(5, 9), clock.now()));
    CHECK_FALSE(follower.takeOver(inEra(4, 7), inEra(5, 9), clock.now()));
    CHECK_FALSE(follower.takeOver(at(7), at(9), clock.now()));
    answerLast(KeyedBatch{{}, inEra(4, 7)});
    CHECK_FALSE(follower.skipUnchanged(inEra(5, 7), inEra(5, 9), clock.now()));
    CHECK_FALSE(follower.skipUnchanged(inEra(3, 7), inEra(3, 9), clock.now()));
    CHECK(follower.next() == inEra(4, 7));
}

// Guards against a router on a silent connection that is not helped until the offsets of the new
// era have caught up with its own, and against one read for each message of a later era.
TEST_CASE_METHOD(EraFixture,
                 "store follower, other router has read a later era, reads on a new connection")
{
    follower.onReadElsewhere(inEra(3, 99));
    runFor(milliseconds(50));
    CHECK(answerable.calls.size() == 2);
    follower.onReadElsewhere(inEra(5, 2));
    runFor(milliseconds(50));
    REQUIRE(answerable.calls.size() == 3);
    CHECK(answerable.calls[2].isFresh);
    CHECK(answerable.calls[2].from == inEra(4, 7));
    SECTION("the store is in that era")
    {
        answerLast(StoreFault::EraChanged);
        runFor(milliseconds(40));
        answerLast(read(5, 3, "b"));
        CHECK(follower.next() == inEra(5, 3));
    }
    SECTION("the store is not, the message was wrong")
    {
        answerLast(KeyedBatch{{}, inEra(4, 7)});
        runFor(milliseconds(50));
        CHECK(answerable.calls.size() == 4);
        CHECK_FALSE(answerable.calls[3].isFresh);
        follower.onReadElsewhere(inEra(4, 9));
        runFor(milliseconds(50));
        CHECK(answerable.calls.size() == 5);
    }
}

// Guards against a take-up that is decided by records of an era that has ended.
TEST_CASE_METHOD(EraFixture,
                 "store follower, asked to read now, era changes, waits for the full read")
{
    std::vector<bool> answers;
    follower.readNow([&](bool isCurrent) { answers.push_back(isCurrent); });
    answerLast(StoreFault::EraChanged);
    CHECK(answers.empty());
    runFor(milliseconds(40));
    answerLast(read(5, 3, "b"));
    CHECK(answers == std::vector<bool>{true});
}
