#include "direct/DirectRouterFixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lovagecourse;
using test::CallerAnswer;
using test::DirectRouterFixture;
using test::ScriptedServer;

namespace {

struct EvacuatedServerFixture : DirectRouterFixture
{
    ScriptedServer &addAnsweringServer(const std::string &dataCentre)
    {
        ScriptedServer &server = addServer([](auto &connection, const std::string &request) {
            connection.send(answer(request, 200, "whole"));
        });
        entries.back().dataCentre = DataCentreId(dataCentre);
        list(entries.size() - 1);
        return server;
    }

    void list(std::size_t server)
    {
        pool.apply(RegistrationChange{entries[server].id, entries[server], {}}, clock.now());
    }

    void evacuate(const std::string &dataCentre, bool isEvacuated = true)
    {
        pool.onEvacuationRecord(DataCentreId(dataCentre), isEvacuated, clock.now());
    }

    void callTimes(int count)
    {
        for (int i = 0; i < count; ++i)
            CHECK(call("POST", "/unsafe/x", {}, "b").status == 200);
    }
};

} // namespace

// Guards against requests to an evacuated data centre, and against a data centre that gets none
// after the evacuation is withdrawn.
TEST_CASE_METHOD(EvacuatedServerFixture,
                 "evacuated server, other data centre has servers, they get all requests")
{
    const ScriptedServer &evacuated = addAnsweringServer("a");
    const ScriptedServer &other = addAnsweringServer("b");
    evacuate("a");
    callTimes(8);
    CHECK(evacuated.requests().empty());
    CHECK(other.requests().size() == 8);
    // A server that registers meanwhile, and one that moves into the data centre.
    const ScriptedServer &added = addAnsweringServer("a");
    const ScriptedServer &moved = addAnsweringServer("b");
    entries[3].dataCentre = DataCentreId("a");
    list(3);
    callTimes(8);
    CHECK(added.requests().empty());
    CHECK(moved.requests().empty());
    evacuate("b");
    evacuate("a", false);
    callTimes(4);
    CHECK(evacuated.requests().size() + added.requests().size() + moved.requests().size() == 4);
}

// Guards against a request that is held back although no server may get it, and against a retry at
// an evacuated server.
TEST_CASE_METHOD(EvacuatedServerFixture, "evacuated server, no other is left, refuses at once")
{
    addAnsweringServer("a");
    evacuate("a");
    const TimePoint begin = clock.now();
    const CallerAnswer got = call("GET", "/safe/x");
    CHECK(got.status == 503);
    CHECK(std::stod(std::string(findHeader(got.headers, "retry-after"))) > 0);
    CHECK(clock.now() - begin < milliseconds(100));
    CHECK(servers[0]->requests().empty());
}

TEST_CASE_METHOD(EvacuatedServerFixture,
                 "evacuated server, other server breaks, safe request is not retried there")
{
    addServer([](auto &connection, const std::string &) { connection.reset(); });
    const ScriptedServer &evacuated = addAnsweringServer("b");
    evacuate("b");
    CHECK(call("GET", "/safe/x").status == 502);
    CHECK(servers[0]->requests().size() == 1);
    CHECK(evacuated.requests().empty());
}

// Guards against a request that was chosen before the evacuation and is sent after it.
TEST_CASE_METHOD(EvacuatedServerFixture,
                 "evacuated server, evacuation before a request is sent, another gets it")
{
    addAnsweringServer("a");
    addAnsweringServer("b");
    const auto got = start("POST", "/unsafe/x", {}, "b");
    const TimePoint limit = clock.now() + seconds(2);
    const std::size_t chosen = waitUntilChosen();
    evacuate(entries[chosen].dataCentre.value);
    while (!got->isDone && clock.now() < limit)
        runFor(milliseconds(10));
    CHECK(servers[chosen]->requests().empty());
    CHECK(got->status == 200);
}

// Guards against a stream that an evacuation cuts off.
TEST_CASE_METHOD(EvacuatedServerFixture, "evacuated server, stream runs there, it is finished")
{
    ScriptedServer::Connection *stream = nullptr;
    addServer([&](auto &connection, const std::string &request) {
        stream = &connection;
        connection.send(streamHead(request) + chunk(event(1)));
    });
    const auto got = start("POST", "/stream/x", {}, "b");
    runFor(milliseconds(50));
    evacuate("a");
    REQUIRE(stream);
    stream->send(chunk(event(2)) + "0\r\n\r\n");
    runFor(milliseconds(50));
    CHECK(got->isDone);
    CHECK(got->isComplete);
    CHECK(got->body == event(1) + event(2));
}
