#include "direct/DirectRouterFixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lovagecourse;
using test::CallerAnswer;
using test::DirectRouterFixture;
using test::ScriptedServer;

namespace {

struct WarmingServerFixture : DirectRouterFixture
{
    WarmingServerFixture()
    {
        ServiceInfo service;
        service.warmingTime = milliseconds(3000);
        service.warmingRate = 6;
        configuration->services[ServiceId("desk")] = service;
        pool.setConfiguration(configuration, clock.now());
        hearOthers(true);
    }

    /// This router is the only one, or has not heard the others yet.
    void hearOthers(bool isKnown)
    {
        pool.setWarmingView(WarmingView{1, isKnown, {{DataCentreId("a"), {1}}}}, clock.now());
    }

    ScriptedServer &addAnsweringServer(const std::string &extra = {})
    {
        return addServer([extra](auto &connection, const std::string &request) {
            connection.send(
                    answer(request, 200, "whole", "X-Lovagecourse-Server-Stamp: st\r\n" + extra));
        });
    }

    void list(std::size_t server, std::uint64_t started, milliseconds warmingLeft,
              TimePoint writtenAfter = {})
    {
        entries[server].startedMs = started;
        entries[server].warmingLeft = warmingLeft;
        pool.apply(RegistrationChange{entries[server].id, entries[server], writtenAfter},
                   clock.now());
    }

    void callTimes(int count)
    {
        for (int i = 0; i < count; ++i) {
            hearOthers(true);
            call("POST", "/unsafe/x", {}, "b");
        }
    }
};

} // namespace

// Guards against a burst to an idle server that has just started, in place of one that is warm.
TEST_CASE_METHOD(WarmingServerFixture, "warming server, new run, others get the requests")
{
    const ScriptedServer &warming = addAnsweringServer();
    const ScriptedServer &warm = addAnsweringServer();
    list(0, 17, milliseconds(3000));
    callTimes(20);
    CHECK(warming.requests().size() <= 2);
    CHECK(warming.requests().size() + warm.requests().size() == 20);
    CHECK(pool.updateWarming(clock.now()).count == 1);
    // Its registration says that it is warm.
    list(0, 17, milliseconds(0));
    runFor(milliseconds(1100));
    CHECK(pool.updateWarming(clock.now()).ended == 1);
}

// Guards against a fleet that starts as a whole and sends nothing to servers that are warm.
TEST_CASE_METHOD(WarmingServerFixture,
                 "warming server, others not heard yet, only warm ones are used")
{
    const ScriptedServer &warming = addAnsweringServer();
    list(0, 17, milliseconds(3000));
    hearOthers(false);
    runFor(milliseconds(700));
    hearOthers(false);
    const TimePoint begin = clock.now();
    const CallerAnswer refused = call("POST", "/unsafe/x", {}, "b");
    CHECK(refused.status == 503);
    CHECK(clock.now() - begin < milliseconds(100));
    // What is left of the time, spread over as long a time, at most 2 s.
    const double retryAfter = std::stod(std::string(findHeader(refused.headers, "retry-after")));
    CHECK(retryAfter > 1.5);
    CHECK(retryAfter < 5.5);
    CHECK(warming.requests().empty());
    const ScriptedServer &warm = addAnsweringServer();
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 200);
    CHECK(warm.requests().size() == 1);
}

// Guards against a burst to a server that comes back under the same id while the store is away.
TEST_CASE_METHOD(WarmingServerFixture,
                 "warming server, connection broken, same until a run is shown")
{
    int calls = 0;
    const ScriptedServer &server = addServer([&](auto &connection, const std::string &request) {
        if (++calls == 1)
            connection.reset();
        else
            connection.send(answer(request, 200, "whole"));
    });
    list(0, 17, milliseconds(0));
    const TimePoint before = clock.now();
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 502);
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 503);
    // A record from before the break, read late.
    list(0, 17, milliseconds(0), before);
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 503);
    list(0, 17, milliseconds(0), clock.now());
    callTimes(8);
    CHECK(server.requests().size() == 9);
}

// Guards against a request that was chosen for the run before and arrives at the new one.
TEST_CASE_METHOD(WarmingServerFixture,
                 "warming server, new run before a request is sent, withdraws it")
{
    addAnsweringServer();
    list(0, 17, milliseconds(0));
    const TimePoint sent = clock.now() - milliseconds(1);
    CHECK(pool.accepts(entries[0].id, clock.now(), sent));
    list(0, 18, milliseconds(3000));
    CHECK_FALSE(pool.accepts(entries[0].id, clock.now(), sent));
    CHECK(pool.accepts(entries[0].id, clock.now(), clock.now()));
}

// Guards against a view of the routers from before this process was suspended.
TEST_CASE_METHOD(WarmingServerFixture, "warming server, view of the routers is old, gets nothing")
{
    addAnsweringServer();
    list(0, 17, milliseconds(3000));
    PlacementRequest request;
    request.service = ServiceId("desk");
    const TimePoint later = clock.now() + milliseconds(990);
    CHECK(pool.choose(request, later).has_value());
    CHECK_FALSE(pool.choose(request, later + milliseconds(100)).has_value());
}

// Guards against a burst to a cold server whose registration was lost and has come back, while it
// warmed up or while its evacuation was withdrawn.
TEST_CASE_METHOD(WarmingServerFixture, "warming server, registration lost and back, still warms up")
{
    addAnsweringServer();
    list(0, 17, milliseconds(3000));
    const TimePoint begin = clock.now();
    const ServerId id = entries[0].id;
    const RegistrationChange added{id, entries[0], {}};
    const auto comeBack = [&](TimePoint at, TimePoint goneAt) {
        pool.apply(RegistrationChange{id, std::nullopt, goneAt}, goneAt);
        pool.apply(added, at);
    };
    comeBack(begin + milliseconds(2000), begin + milliseconds(1000));
    CHECK(pool.warmsUp(id, begin + milliseconds(2900)));
    CHECK_FALSE(pool.warmsUp(id, begin + milliseconds(4200)));
    const TimePoint gone = begin + milliseconds(10000);
    pool.setEvacuated({DataCentreId("a")}, gone - milliseconds(500));
    pool.apply(RegistrationChange{id, std::nullopt, gone}, gone);
    pool.setEvacuated({}, gone + milliseconds(500));
    ServerEntry warm = entries[0];
    warm.warmingLeft = milliseconds(0);
    pool.apply(RegistrationChange{id, warm, {}}, gone + milliseconds(1000));
    CHECK(pool.warmsUp(id, gone + milliseconds(3400)));
    CHECK_FALSE(pool.warmsUp(id, gone + milliseconds(4600)));
    // An evacuation that was withdrawn long ago concerns it no longer.
    const TimePoint later = gone + seconds(20);
    pool.apply(RegistrationChange{id, std::nullopt, later}, later);
    pool.apply(RegistrationChange{id, warm, {}}, later);
    CHECK_FALSE(pool.warmsUp(id, later));
}

// Guards against a burst after a change of the rate, from time that passed before the change.
TEST_CASE_METHOD(WarmingServerFixture, "warming server, rate changed, no token from before")
{
    addAnsweringServer();
    list(0, 17, milliseconds(3000));
    PlacementRequest request;
    request.service = ServiceId("desk");
    const TimePoint later = clock.now() + milliseconds(900);
    CHECK(pool.choose(request, later).has_value());
    configuration->services[ServiceId("desk")].warmingRate = 12;
    pool.setConfiguration(configuration, later);
    CHECK_FALSE(pool.choose(request, later).has_value());
    configuration->services[ServiceId("desk")].warmingRate = 0;
    pool.setConfiguration(configuration, later);
    CHECK_FALSE(pool.hasWarmingLimits());
    CHECK(pool.choose(request, later).has_value());
}

// Guards against a server that says in its answers that it has gone cold and gets all requests.
TEST_CASE_METHOD(WarmingServerFixture, "warming server, answer says so, gets its share only")
{
    const ScriptedServer &server = addAnsweringServer("X-Lovagecourse-Cold-Ms: 2500\r\n");
    callTimes(8);
    CHECK(server.requests().size() <= 2);
}

// Guards against a burst to servers that have had no requests during an evacuation.
TEST_CASE_METHOD(WarmingServerFixture, "warming server, evacuation over, warms up again")
{
    addAnsweringServer();
    pool.setEvacuated({DataCentreId("a")}, clock.now());
    CHECK(pool.withheldFor(ServiceId("desk"), clock.now())->reason == Withheld::Evacuated);
    pool.setEvacuated({}, clock.now());
    const auto withheld = pool.withheldFor(ServiceId("desk"), clock.now());
    REQUIRE(withheld);
    CHECK(withheld->reason == Withheld::Warming);
    CHECK(withheld->wait > milliseconds(2900));
}
