#include "direct/StoreFollower.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace lovagecourse;

namespace {

/// Store that answers with prepared results and writes down the calls.
class ScriptedStore final : public FleetStore
{
public:
    void readNewest(KeyedTopic, milliseconds,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        calls.emplace_back("all");
        answer(onDone);
    }
    void readFrom(KeyedTopic, LogOffset from, milliseconds, milliseconds,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        calls.push_back("from " + std::to_string(from.value));
        answer(onDone);
    }
    void writeDaemon(const std::string &, const std::string &, milliseconds,
                     std::function<void(const WriteResult &)>) override
    {}

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

struct StoreFollowerFixture
{
    EventLoop loop;
    SystemClock clock;
    ScriptedStore store;
    int alls = 0;
    int changes = 0;
    int returns = 0;

    void follow(milliseconds time)
    {
        StoreFollower::Handlers handlers;
        handlers.onAll = [this](const auto &) { ++alls; };
        handlers.onChanges = [this](const auto &, LogOffset, LogOffset) { ++changes; };
        handlers.onNothing = [](LogOffset) {};
        handlers.onReturned = [this] { ++returns; };
        StoreFollower follower(loop, clock, store, KeyedTopic::Servers,
                               FollowPace{milliseconds(1), milliseconds(0)}, std::move(handlers));
        follower.start();
        Timer timer(loop, [this] { loop.stop(); });
        timer.startOnce(time);
        loop.run();
    }

    static KeyedBatch batch(std::uint64_t next, std::size_t records)
    {
        return KeyedBatch{std::vector<KeyedRecord>(records, KeyedRecord{"k", "v"}),
                          LogOffset(next)};
    }
};

} // namespace

// Guards against changes that are missed between the first read and the next.
TEST_CASE_METHOD(StoreFollowerFixture, "store follower, all read, goes on where that ended")
{
    store.results = {batch(7, 2), batch(9, 2), batch(9, 0)};
    follow(milliseconds(100));
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "from 9", "from 9"});
    CHECK(alls == 1);
    CHECK(changes == 1);
}

// Guards against a follower that stays behind when the store has dropped its next record.
TEST_CASE_METHOD(StoreFollowerFixture, "store follower, records expired, reads all again")
{
    store.results = {batch(7, 1), StoreFault::Expired, batch(50, 3)};
    follow(milliseconds(100));
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "all", "from 50"});
    CHECK(alls == 2);
}

// Guards against a follower that stops, or forgets its place, after a failed call.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, store away, tries again and tells of return")
{
    store.results = {batch(7, 1), StoreFault::NoAnswer, StoreFault::Unavailable, batch(8, 1)};
    follow(milliseconds(600));
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "from 7", "from 7", "from 8"});
    CHECK(returns == 1);
}

// Guards against a call of every router for each heartbeat, and against records that are passed
// over.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, other daemon found no change, reads on behind what that one read")
{
    store.results = {batch(7, 1), batch(30, 1)};
    StoreFollower::Handlers handlers;
    handlers.onAll = [](const auto &) {};
    handlers.onChanges = [](const auto &, LogOffset, LogOffset) {};
    handlers.onNothing = [](LogOffset) {};
    handlers.onReturned = [] {};
    StoreFollower follower(loop, clock, store, KeyedTopic::Servers,
                           FollowPace{milliseconds(40), milliseconds(0)}, std::move(handlers));
    follower.start();
    // Begins behind what this follower has, so a record between them may hold a change.
    follower.onUnchanged(LogOffset(9), LogOffset(11));
    // Older than what this follower has.
    follower.onUnchanged(LogOffset(2), LogOffset(5));
    follower.onUnchanged(LogOffset(6), LogOffset(20));
    Timer timer(loop, [this] { loop.stop(); });
    timer.startOnce(milliseconds(60));
    loop.run();
    CHECK(store.calls == std::vector<std::string>{"all", "from 20"});
}

// Guards against a follower that does not notice the store's return because others read for it.
TEST_CASE_METHOD(StoreFollowerFixture, "store follower, last read failed, reads by itself")
{
    store.results = {batch(7, 1), StoreFault::NoAnswer, batch(9, 1)};
    StoreFollower::Handlers handlers;
    handlers.onAll = [](const auto &) {};
    handlers.onChanges = [](const auto &, LogOffset, LogOffset) {};
    handlers.onNothing = [](LogOffset) {};
    handlers.onReturned = [this] { ++returns; };
    StoreFollower follower(loop, clock, store, KeyedTopic::Servers,
                           FollowPace{milliseconds(1), milliseconds(0)}, std::move(handlers));
    follower.start();
    Timer other(loop, [&] { follower.onUnchanged(LogOffset(7), LogOffset(9)); });
    other.startOnce(milliseconds(20));
    Timer timer(loop, [this] { loop.stop(); });
    timer.startOnce(milliseconds(200));
    loop.run();
    CHECK(store.calls == std::vector<std::string>{"all", "from 7", "from 7", "from 9"});
    CHECK(returns == 1);
}

// Guards against a change that came with all keys, so that it is no news when it is read again, and
// that other daemons are then told to pass over.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "store follower, first read after all keys, vouches for no record")
{
    store.results = {batch(7, 2), batch(9, 2), batch(12, 1)};
    std::vector<std::pair<std::uint64_t, std::uint64_t>> ranges;
    StoreFollower::Handlers handlers;
    handlers.onAll = [](const auto &) {};
    handlers.onChanges = [&](const auto &, LogOffset from, LogOffset to) {
        ranges.emplace_back(from.value, to.value);
    };
    handlers.onNothing = [](LogOffset) {};
    handlers.onReturned = [] {};
    StoreFollower follower(loop, clock, store, KeyedTopic::Servers,
                           FollowPace{milliseconds(1), milliseconds(0)}, std::move(handlers));
    follower.start();
    Timer timer(loop, [this] { loop.stop(); });
    timer.startOnce(milliseconds(60));
    loop.run();
    CHECK(ranges == std::vector<std::pair<std::uint64_t, std::uint64_t>>{{9, 9}, {9, 12}});
}
