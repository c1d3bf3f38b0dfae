#include "resuming/ResumableStreams.h"
#include "resuming/StreamOriginRecord.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace lovagecourse;

namespace {

/// Store in memory whose calls are done at once, or fail.
class SharedStore final : public FleetStore
{
public:
    void readNewest(KeyedTopic, const ReadOptions &,
                    std::function<void(const KeyedResult &)>) override
    {}
    void readFrom(KeyedTopic, const StorePosition &from, const ReadOptions &,
                  std::function<void(const KeyedResult &)> onDone) override
    {
        ++reads;
        if (isSilent)
            return;
        if (isAway)
            return onDone(StoreFault::Unavailable);
        if (from.offset.value > 0 && from.era != era)
            return onDone(StoreFault::EraChanged);
        if (from.offset.value > records.size())
            return onDone(StoreFault::HistoryLost);
        KeyedBatch batch;
        batch.next = {era, LogOffset(records.size())};
        for (std::size_t i = from.offset.value; i < records.size(); ++i)
            batch.records.push_back(KeyedRecord{"router", records[i], LogOffset(i)});
        onDone(batch);
    }
    void append(KeyedTopic topic, const std::string &, const std::string &value, milliseconds,
                std::function<void(const WriteResult &)> onDone) override
    {
        CHECK(topic == KeyedTopic::StreamOrigins);
        if (isAway)
            return onDone(StoreFault::Unavailable);
        records.push_back(value);
        onDone(std::nullopt);
    }

    std::vector<std::string> records;
    std::optional<StoreEra> era;
    unsigned reads = 0;
    bool isAway = false;
    /// Reads get no answer.
    bool isSilent = false;
};

struct ResumableStreamsFixture
{
    EventLoop loop;
    ManualClock clock;
    Metrics metrics;
    SharedStore store;
    unsigned listReads = 0;
    const ServiceId service{"llm"};
    std::vector<ServiceId> services{service};
    const SoftwareVersion older{"v1"};
    const SoftwareVersion newer{"v2"};
    std::unique_ptr<ResumableStreams> first = start();
    std::unique_ptr<ResumableStreams> second = start();

    std::unique_ptr<ResumableStreams> start()
    {
        auto streams = std::make_unique<ResumableStreams>(loop, clock, metrics, DaemonId("router"),
                                                          [] { return std::size_t(4); });
        streams->setStore(store);
        streams->setServersReader([this](const auto &onRead) {
            ++listReads;
            onRead(true);
        });
        streams->onStarted();
        return streams;
    }
    ServerEntry entry(const std::string &id, const SoftwareVersion &version) const
    {
        ServerEntry result;
        result.id = ServerId(id);
        result.service = service;
        result.version = version;
        return result;
    }
    /// Both versions serve side by side.
    void mix(ResumableStreams &streams) const
    {
        streams.onRegistered(entry("a", older));
        streams.onRegistered(entry("b", newer));
    }
    TakeUpDecision decide(ResumableStreams &streams, const std::string &resumes)
    {
        std::optional<TakeUpDecision> decided;
        streams.decide(resumes, services, [&](const TakeUpDecision &got) { decided = got; });
        REQUIRE(decided);
        return *decided;
    }
    bool goesOnAt(ResumableStreams &streams, const std::string &resumes,
                  const SoftwareVersion &version)
    {
        const TakeUpDecision decision = decide(streams, resumes);
        return decision.action == TakeUpAction::GoOn
               && decision.version == versionHash(service, version);
    }
    void runFor(milliseconds time)
    {
        Timer end(loop, [this] { loop.stop(); });
        end.startOnce(time);
        loop.run();
    }
};

// Longer than the interval of appends of four routers.
constexpr milliseconds appendTime{250};

} // namespace

// Guards against a stream that goes on at another version because its client reaches another
// router, or the same one after a restart.
TEST_CASE_METHOD(ResumableStreamsFixture,
                 "resumable streams, router that began one is gone, others know its version")
{
    mix(*first);
    mix(*second);
    first->onBegun("attempt", service, newer, services);
    runFor(appendTime);
    CHECK(store.records.size() == 1);
    first.reset();
    CHECK(goesOnAt(*second, "attempt", newer));
    first = start();
    mix(*first);
    CHECK(goesOnAt(*first, "attempt", newer));
}

// Guards against a guess: the stream was begun by one of two versions.
TEST_CASE_METHOD(ResumableStreamsFixture, "resumable streams, nobody knows the version, refuses")
{
    mix(*first);
    CHECK(decide(*first, "unknown").action == TakeUpAction::Refuse);
    CHECK(decide(*first, "").action == TakeUpAction::Refuse);
    store.isAway = true;
    CHECK(decide(*first, "unknown").action == TakeUpAction::Refuse);
    first->onBegun("attempt", service, older, services);
    CHECK(goesOnAt(*first, "attempt", older));
}

// Guards against calls of the store for each stream while there is a single version.
TEST_CASE_METHOD(ResumableStreamsFixture, "resumable streams, one version, don't use the store")
{
    first->onPastRead();
    first->onRegistered(entry("a", older));
    first->onRegistered(entry("b", older));
    first->onBegun("attempt", service, older, services);
    runFor(appendTime);
    CHECK(goesOnAt(*first, "attempt", older));
    CHECK(listReads == 0);
    CHECK(goesOnAt(*first, "other", older));
    CHECK(listReads == 1);
    CHECK(store.records.empty());
    CHECK(store.reads == 0);
}

// Guards against streams that began before the second version came and whose router dies after it.
TEST_CASE_METHOD(ResumableStreamsFixture,
                 "resumable streams, second version comes, tells the streams that have begun")
{
    first->onPastRead();
    first->onRegistered(entry("a", older));
    first->onBegun("attempt", service, older, services);
    first->onRegistered(entry("b", newer));
    runFor(appendTime);
    mix(*second);
    CHECK(goesOnAt(*second, "attempt", older));
}

// Guards against origins that are lost because the store is away when a stream begins, and against
// reads that fail for good because the store has lost records.
TEST_CASE_METHOD(ResumableStreamsFixture, "resumable streams, store away and back, tells and reads")
{
    mix(*first);
    mix(*second);
    store.isAway = true;
    first->onBegun("attempt", service, older, services);
    runFor(appendTime);
    store.isAway = false;
    // Appends are repeated after half a second.
    runFor(milliseconds(500) + appendTime);
    CHECK(goesOnAt(*second, "attempt", older));
    store.records.clear();
    first->onBegun("later", service, newer, services);
    runFor(appendTime);
    store.records.clear();
    CHECK(decide(*second, "later").action == TakeUpAction::Refuse);
    first->onBegun("last", service, newer, services);
    runFor(appendTime);
    CHECK(goesOnAt(*second, "last", newer));
}

// Guards against a router that has been cut off or has stood still, with or without its clock, and
// takes the only version that it knows for the only one that there is.
TEST_CASE_METHOD(
        ResumableStreamsFixture,
        "resumable streams, newer version is not in the list yet, don't go on at the older")
{
    for (ResumableStreams *streams : {first.get(), second.get()}) {
        streams->onPastRead();
        streams->onRegistered(entry("a", older));
    }
    first->onRegistered(entry("b", newer));
    first->onBegun("attempt", service, newer, services);
    const bool isTold = GENERATE(true, false);
    if (isTold)
        runFor(appendTime);
    clock.advance(GENERATE(seconds(0), seconds(1), streamMemory - seconds(1)));
    second->setServersReader([this](const auto &onRead) {
        second->onRegistered(entry("b", newer));
        onRead(true);
    });
    if (isTold)
        CHECK(goesOnAt(*second, "attempt", newer));
    else
        CHECK(decide(*second, "attempt").action == TakeUpAction::Refuse);
}

// Guards against a guess, and against a client that waits for long or is answered twice, because
// the router's read of the list fails or gets no answer.
TEST_CASE_METHOD(ResumableStreamsFixture,
                 "resumable streams, list can't be read, go on only at an origin in the record")
{
    second->onPastRead();
    second->onRegistered(entry("a", older));
    first->onRegistered(entry("a", older));
    first->onRegistered(entry("b", newer));
    first->onBegun("attempt", service, newer, services);
    runFor(appendTime);
    store.isAway = GENERATE(false, true);
    const bool isSilent = GENERATE(false, true);
    std::function<void(bool)> silent;
    second->setServersReader([&](const auto &onRead) {
        if (isSilent)
            silent = onRead;
        else
            onRead(false);
    });
    std::vector<TakeUpDecision> decisions;
    second->decide("attempt", services, [&](const auto &decision) {
        decisions.push_back(decision);
        loop.stop();
    });
    if (isSilent) {
        CHECK(decisions.empty());
        runFor(seconds(5));
        silent(true);
    }
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].action == (store.isAway ? TakeUpAction::Refuse : TakeUpAction::GoOn));
    if (!store.isAway)
        CHECK(decisions[0].version == versionHash(service, newer));
}

// Guards against a client that waits for its deadline, because the record is read page by page and
// each page may take as long as the whole.
TEST_CASE_METHOD(ResumableStreamsFixture,
                 "resumable streams, record gets no answer, take-up is refused in time")
{
    mix(*second);
    store.isSilent = true;
    std::optional<TakeUpDecision> decided;
    second->decide("attempt", services, [&](const TakeUpDecision &decision) {
        decided = decision;
        loop.stop();
    });
    runFor(seconds(5));
    REQUIRE(decided);
    CHECK(decided->action == TakeUpAction::Refuse);
}

// Guards against a stream that goes on at another service of a split route, whose only version it
// is.
TEST_CASE_METHOD(ResumableStreamsFixture,
                 "resumable streams, route is split among services, go on at the one that began")
{
    const ServiceId other("other");
    ServerEntry otherEntry = entry("b", older);
    otherEntry.service = other;
    for (ResumableStreams *streams : {first.get(), second.get()}) {
        streams->onPastRead();
        streams->onRegistered(entry("a", older));
        streams->onRegistered(otherEntry);
    }
    services.push_back(other);
    first->onBegun("attempt", other, older, services);
    runFor(appendTime);
    const TakeUpDecision decision = decide(*second, "attempt");
    CHECK(decision.action == TakeUpAction::GoOn);
    CHECK(decision.version == versionHash(other, older));
    CHECK(decide(*second, "unknown").action == TakeUpAction::Refuse);
}

// Guards against streams that nobody can take up because the store has lost their origins, and
// against origins that are never read because their offsets were given out before.
TEST_CASE_METHOD(ResumableStreamsFixture,
                 "resumable streams, store comes back from an older copy, origins are told again")
{
    store.era = StoreEra(1);
    mix(*first);
    mix(*second);
    first->onBegun("before", service, older, services);
    runFor(appendTime);
    CHECK(goesOnAt(*second, "before", older));
    first->onBegun("lost", service, newer, services);
    runFor(appendTime);
    REQUIRE(store.records.size() == 2);
    store.records.resize(1);
    store.era = StoreEra(2);
    first->onOlderCopy();
    runFor(appendTime);
    CHECK(store.records.size() == 2);
    // The second router has not noticed the change: its offset is of the earlier era.
    CHECK(goesOnAt(*second, "lost", newer));
    // A router that starts reads all of it.
    const auto third = start();
    mix(*third);
    CHECK(goesOnAt(*third, "before", older));
    CHECK(goesOnAt(*third, "lost", newer));
}

// Guards against a record of another writer that ends the process or names origins that it lacks.
TEST_CASE("stream origin record, cut off, keeps the whole origins")
{
    const std::vector<StreamOrigin> origins{{AttemptHash(0x0123456789abcdef), VersionHash(7)},
                                            {AttemptHash(UINT64_MAX), VersionHash(UINT32_MAX)}};
    const std::string text = formatStreamOrigins(origins);
    CHECK(parseStreamOrigins(text) == origins);
    for (std::size_t length = 0; length < text.size(); ++length)
        CHECK(parseStreamOrigins(text.substr(0, length)).size() == length / (text.size() / 2));
}
