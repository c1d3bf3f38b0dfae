#include "direct/RouterRegistry.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <vector>

using namespace lovagecourse;

namespace {

/// Store that does each call when the test says so, in any order.
class ManualStore final : public FleetStore
{
public:
    void readNewest(KeyedTopic, const ReadOptions &,
                    std::function<void(const KeyedResult &)> onDone) override
    {
        pending.emplace_back([this, onDone] {
            KeyedBatch batch;
            for (const auto &[key, value] : records)
                batch.records.push_back(KeyedRecord{key, value, LogOffset(0)});
            onDone(batch);
        });
    }
    void readFrom(KeyedTopic, const StorePosition &, const ReadOptions &,
                  std::function<void(const KeyedResult &)>) override
    {}
    void append(KeyedTopic, const std::string &key, const std::string &value, milliseconds,
                std::function<void(const WriteResult &)> onDone) override
    {
        pending.emplace_back([this, key, value, onDone] {
            if (failingWrites > 0) {
                --failingWrites;
                return onDone(StoreFault::Unavailable);
            }
            records[key] = value;
            onDone(std::nullopt);
        });
    }

    void doCall(std::size_t index)
    {
        const auto call = pending[index];
        pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(index));
        call();
    }
    void doAllCalls()
    {
        while (!pending.empty())
            doCall(0);
    }

    std::vector<std::function<void()>> pending;
    std::map<std::string, std::string> records;
    unsigned failingWrites = 0;
};

struct RegisteringRouter
{
    RegisteringRouter(EventLoop &loop, const std::string &name)
        : registry(loop, DaemonId(name),
                   RouterRecord{Endpoint{"10.0.0.1", 7280}, DataCentreId("a")},
                   {[this](const DaemonId &router, const RouterRecord &) {
                        found.insert(router.value);
                    },
                    [this] { ++reads; }})
    {}

    std::set<std::string> found;
    unsigned reads = 0;
    RouterRegistry registry;
};

struct RouterRegistryFixture
{
    EventLoop loop;
    ManualStore store;
    RegisteringRouter first{loop, "first"};
    RegisteringRouter second{loop, "second"};

    bool hasOneFoundTheOther() const
    {
        return first.found.contains("second") || second.found.contains("first");
    }
    void runFor(milliseconds time)
    {
        Timer end(loop, [this] { loop.stop(); });
        end.startOnce(time);
        loop.run();
    }
};

} // namespace

// Guards against routers that start at the same moment and don't learn of each other: each computes
// shares without the other's part.
TEST_CASE("router registry, two routers start together, one finds the other")
{
    const unsigned seed = GENERATE(range(1u, 101u));
    CAPTURE(seed);
    RouterRegistryFixture routers;
    routers.first.registry.start(routers.store);
    routers.second.registry.start(routers.store);
    std::mt19937 random(seed);
    while (!routers.store.pending.empty())
        routers.store.doCall(random() % routers.store.pending.size());
    CHECK(routers.first.reads > 0);
    CHECK(routers.second.reads > 0);
    CHECK(routers.hasOneFoundTheOther());
}

// Guards against a router that knows no others while only its own record can't be written, and
// against one that does not read again after it was written.
TEST_CASE_METHOD(RouterRegistryFixture, "router registry, write fails, reads before and after it")
{
    store.failingWrites = 1;
    first.registry.start(store);
    store.doAllCalls();
    CHECK(first.reads == 1);
    second.registry.start(store);
    store.doAllCalls();
    CHECK(second.found.empty());
    // The write is repeated after half a second.
    for (int i = 0; i < 10 && store.records.size() < 2; ++i) {
        runFor(milliseconds(100));
        store.doAllCalls();
    }
    CHECK(store.records.size() == 2);
    CHECK(hasOneFoundTheOther());
}

// Guards against a callback into a registry that is gone.
TEST_CASE("router registry, destroyed before an answer, ignores it")
{
    EventLoop loop;
    ManualStore store;
    {
        RegisteringRouter router(loop, "first");
        router.registry.start(store);
    }
    store.doAllCalls();
    CHECK(store.records.size() == 1);
}

// Guards against routers that don't find each other because the store has lost their records, and
// against one that starts meanwhile and finds nobody.
TEST_CASE_METHOD(RouterRegistryFixture,
                 "router registry, store lost the records, writes again and reads")
{
    first.registry.start(store);
    store.doAllCalls();
    store.records.clear();
    second.registry.start(store);
    store.doAllCalls();
    CHECK_FALSE(hasOneFoundTheOther());
    first.registry.onOlderCopy(milliseconds(20));
    CHECK(store.pending.empty());
    runFor(milliseconds(40));
    store.doAllCalls();
    CHECK(store.records.contains("first"));
    CHECK(first.found.contains("second"));
}
