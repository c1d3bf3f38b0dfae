#include "placing/EngineMemory.h"

#include "direct/ServerPool.h"
#include "wire/ReportHash.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

constexpr double capacity = 100000;

/// A pool with engines of one service and the capacity above.
struct EnginePoolFixture
{
    ServerPool pool{DataCentreId("a")};
    TimePoint now{std::chrono::hours(1)};

    EnginePoolFixture()
    {
        auto configuration = std::make_shared<DirectConfiguration>();
        ServiceInfo service;
        service.cacheTokens = capacity;
        configuration->services[ServiceId("llm")] = service;
        pool.setConfiguration(configuration, now);
        for (const char *id : {"s1", "s2"})
            pool.apply(RegistrationChange{ServerId(id), entry(id, 1)}, now);
    }

    static ServerEntry entry(const std::string &id, std::uint64_t startedMs)
    {
        ServerEntry result;
        result.id = ServerId(id);
        result.service = ServiceId("llm");
        result.address =
                Endpoint{"10.0.0.1", id == "s1" ? std::uint16_t(1001) : std::uint16_t(1002)};
        result.dataCentre = DataCentreId("a");
        result.slots = 64;
        result.startedMs = startedMs;
        return result;
    }

    static std::vector<PromptPrefix> prompt(std::uint64_t own)
    {
        return makePrefixes(1, {{1, 10000}, {own, 500}});
    }

    Placement choose(std::uint64_t own, double outputTokens, const char *excluded)
    {
        PlacementRequest request;
        request.service = ServiceId("llm");
        request.prompt = prompt(own);
        request.promptTokens = 10500;
        request.outputTokens = outputTokens;
        request.objectiveMs = 500;
        if (excluded)
            request.excluded.insert(ServerId(excluded));
        const auto placement = pool.choose(request, now);
        REQUIRE(placement);
        return *placement;
    }

    SendNumber send(std::uint64_t own, double outputTokens)
    {
        return pool.onSent(choose(own, outputTokens, "s2"), prompt(own), now);
    }
};

} // namespace

// Guards against room for cached prefixes that running requests use.
TEST_CASE("engine memory, requests run, cached prefixes have what is left")
{
    EngineMemory memory;
    CHECK(prefixCacheRoom(capacity, memory.runningTokens(0, 0, 64)) == Approx(70000));
    memory.onSent(1, 20000);
    memory.onSent(2, 40000);
    CHECK(prefixCacheRoom(capacity, memory.runningTokens(0, 0, 64)) == Approx(40000));
    CHECK(prefixCacheRoom(capacity, memory.runningTokens(10, 3000, 64)) == Approx(10000));
    CHECK(prefixCacheRoom(capacity, memory.runningTokens(50, 3000, 64)) == 0);
    memory.onEnded(2);
    memory.onEnded(2);
    CHECK(memory.runningTokens(0, 0, 64) == Approx(20000));
    memory.clear();
    CHECK(memory.runningTokens(0, 0, 64) == 0);
}

// Guards against an overload in which requests that wait for a slot count as memory, so that no
// prefix counts as cached.
TEST_CASE("engine memory, more requests than slots, those that wait hold no memory")
{
    EngineMemory memory;
    for (SendNumber number = 1; number <= 8; ++number)
        memory.onSent(number, 2000);
    CHECK(memory.runningTokens(0, 0, 8) == Approx(16000));
    CHECK(memory.runningTokens(24, 2000, 8) == Approx(16000));
    CHECK(memory.runningTokens(24, 2000, 0) == Approx(64000));
    CHECK(prefixCacheRoom(capacity, memory.runningTokens(72, 2000, 8)) == Approx(70000));
}

// Guards against limits for engines whose memory is not known, and against a client that announces
// an absurd output length and thereby makes an engine look full.
TEST_CASE("engine memory, capacity unknown or request absurd, no engine is full")
{
    CHECK_FALSE(exceedsMemory(0, 1e9, 1e9, 1e9));
    CHECK_FALSE(exceedsMemory(capacity, 0, 10000, 1e9));
    CHECK(exceedsMemory(capacity, 80000, 10000, 500));
    CHECK(requestTokens(500, 1e9, capacity) < capacity / 2);
}

// Guards against output estimates that exceed the announced maximum or are missing.
TEST_CASE("engine memory, length hint, expected output stays below the maximum")
{
    CHECK(expectedOutputTokens(0, 300) == 300);
    CHECK(expectedOutputTokens(100, 300) > 100);
    CHECK(expectedOutputTokens(290, 300) == 300);
    CHECK(expectedOutputTokens(100, 0) > 100);
}

// Guards against the choice of an engine that must preempt a running request, although another one
// has memory, because only the first one has the prompt cached.
TEST_CASE_METHOD(EnginePoolFixture, "server pool, caching engine's memory full, chooses another")
{
    const SendNumber first = send(7, 100);
    pool.onEnded(ServerId("s1"), first);
    now += seconds(5);
    CHECK(choose(8, 100, nullptr).server == ServerId("s1"));
    std::vector<SendNumber> sends;
    for (std::uint64_t own = 10; own < 14; ++own)
        sends.push_back(send(own, 30000));
    now += seconds(5);
    for (const SendNumber number : sends)
        pool.onFirstByte(ServerId("s1"), number, now, false);
    CHECK(choose(8, 100, nullptr).server == ServerId("s2"));
    for (const SendNumber number : sends)
        pool.onEnded(ServerId("s1"), number);
    CHECK(choose(8, 100, nullptr).server == ServerId("s1"));
}

// Guards against requests of an ended run that count as memory of the next one.
TEST_CASE_METHOD(EnginePoolFixture, "server pool, engine restarted, its memory is empty")
{
    for (std::uint64_t own = 10; own < 14; ++own)
        send(own, 30000);
    CHECK(choose(8, 100, "s2").prediction.exceedsMemory);
    pool.apply(RegistrationChange{ServerId("s1"), entry("s1", 2)}, now);
    CHECK_FALSE(choose(8, 100, "s2").prediction.exceedsMemory);
}

// Guards against routers that count only their own requests, so that together they fill an engine.
TEST_CASE_METHOD(EnginePoolFixture, "server pool, peers' requests run, their mean size counts")
{
    pool.onEnded(ServerId("s1"), send(7, 9500));
    RouterReport report;
    RouterServerLoad load;
    load.server = reportHash("s1");
    load.running = 9;
    report.servers.push_back(load);
    pool.applyReport(DaemonId("peer"), report, true, now);
    CHECK(choose(8, 100, "s2").prediction.exceedsMemory);
    now += seconds(2);
    CHECK_FALSE(choose(8, 100, "s2").prediction.exceedsMemory);
}
