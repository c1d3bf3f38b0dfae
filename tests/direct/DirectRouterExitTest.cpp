#include "direct/DirectRouter.h"

#include "direct/DirectRouterFixture.h"

using namespace lovagecourse;
using test::CallerAnswer;
using test::DirectRouterFixture;
using test::ScriptedServer;

// Guards against requests that are accepted shortly before the process exits and can't complete.
TEST_CASE_METHOD(DirectRouterFixture, "direct router, process is about to exit, refuses as not run")
{
    ScriptedServer &server = addServer([](auto &, const std::string &) {});
    router->refuseNewRequests();
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 503);
    CHECK(server.requests().empty());
}

// Guards against requests that are accepted late in a planned stop and cut off at its end, among
// them requests that must not be retried.
TEST_CASE_METHOD(DirectRouterFixture,
                 "direct router, process exits soon, accepts only what ends before")
{
    const ScriptedServer &server = addServer([](auto &connection, const std::string &request) {
        const bool isStream = request.find("/stream/") != std::string::npos;
        connection.send(isStream ? streamHead(request) + chunk(event(1)) + chunk("")
                                 : answer(request, 200, "ok"));
    });
    // Routes have a timeout of 600 ms.
    router->setExitTime(clock.now() + milliseconds(450));
    const CallerAnswer refused = call("POST", "/unsafe/x", {}, "b");
    CHECK(refused.status == 503);
    CHECK_FALSE(findHeader(refused.headers, "retry-after").empty());
    CHECK(server.requests().empty());
    CHECK(call("POST", "/unsafe/x", {{"x-lovagecourse-deadline-ms", "150"}}, "b").status == 200);
    CHECK(call("POST", "/stream/x", {}, "b").status == 200);
    router->setExitTime(clock.now() + milliseconds(200));
    CHECK(call("POST", "/stream/x", {}, "b").status == 503);
    CHECK(server.requests().size() == 2);
}

// Guards against callers whose connections end without an answer when the process exits.
TEST_CASE_METHOD(DirectRouterFixture, "direct router, process exits, open requests get an answer")
{
    addServer([](auto &connection, const std::string &request) {
        if (request.find("/stream/") != std::string::npos)
            connection.send(streamHead(request) + chunk(event(1)));
    });
    const auto unsafe = start("POST", "/unsafe/x", {}, "b");
    const auto safe = start("POST", "/safe/x", {}, "b");
    const auto stream = start("POST", "/stream/x", {}, "b");
    runFor(milliseconds(50));
    REQUIRE(router->openRequests() == 3);
    router->endOpenRequests();
    const TimePoint limit = clock.now() + seconds(2);
    while ((!unsafe->isDone || !safe->isDone || !stream->isDone) && clock.now() < limit)
        runFor(milliseconds(20));
    CHECK(router->openRequests() == 0);
    // They may have run.
    CHECK((unsafe->isComplete && unsafe->status == 502));
    CHECK((safe->isComplete && safe->status == 502));
    REQUIRE(stream->isDone);
    CHECK_FALSE(stream->isComplete);
}
