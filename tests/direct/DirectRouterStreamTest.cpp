#include "direct/DirectRouter.h"

#include "direct/DirectRouterFixture.h"

using namespace lovagecourse;
using test::CallerAnswer;
using test::DirectRouterFixture;
using test::headerValue;
using test::ScriptedServer;

// Guards against events of a stream that are buffered or lost.
TEST_CASE_METHOD(DirectRouterFixture, "direct router, event stream, forwards every event")
{
    addServer([](auto &connection, const std::string &request) {
        connection.send(streamHead(request) + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n");
    });
    const CallerAnswer got = call("POST", "/stream/x", {}, "b");
    CHECK(got.isComplete);
    CHECK(got.body == event(1) + event(2));
}

// Guards against an interrupted stream that ends normally for the caller.
TEST_CASE_METHOD(DirectRouterFixture, "direct router, stream breaks, aborts the caller's stream")
{
    addServer([](auto &connection, const std::string &request) {
        connection.send(streamHead(request) + chunk(event(1)));
        connection.close();
    });
    const CallerAnswer got = call("POST", "/stream/x", {}, "b");
    CHECK_FALSE(got.isComplete);
}

// Guards against lost or duplicate events when a stream resumes at another server.
TEST_CASE_METHOD(DirectRouterFixture,
                 "direct router, resumable stream breaks, resumes at another server")
{
    const auto handler = [](auto &connection, const std::string &request) {
        if (headerValue(request, "last-event-id").empty()) {
            connection.send(streamHead(request) + chunk(event(1) + event(2))
                            + chunk(event(3).substr(0, 4)));
            connection.close();
        } else {
            connection.send(streamHead(request) + chunk(event(3) + event(4)) + "0\r\n\r\n");
        }
    };
    ScriptedServer &first = addServer(handler);
    ScriptedServer &second = addServer(handler);
    const CallerAnswer got = call("POST", "/resume/x", {}, "b");
    CHECK(got.isComplete);
    CHECK(got.body == event(1) + event(2) + event(3) + event(4));
    REQUIRE(first.requests().size() == 1);
    REQUIRE(second.requests().size() == 1);
    const std::string ids = headerValue(first.requests()[0], "last-event-id")
                            + headerValue(second.requests()[0], "last-event-id");
    CHECK(ids == "2");
}

// Guards against a stream without length or chunks that breaks off inside an event and reaches the
// caller as complete.
TEST_CASE_METHOD(DirectRouterFixture,
                 "direct router, unframed stream ends inside an event, is not complete")
{
    std::string tail;
    const auto handler = [&](auto &connection, const std::string &request) {
        const std::string resumed = headerValue(request, "last-event-id");
        const std::string events = resumed.empty() ? event(1) + tail : event(2);
        connection.send("HTTP/1.1 200 OK\r\nX-Lovagecourse-Attempt-Id: "
                        + headerValue(request, "x-lovagecourse-attempt-id")
                        + "\r\nX-Lovagecourse-Server-Stamp: st\r\n"
                          "Content-Type: text/event-stream\r\n\r\n"
                        + events);
        connection.close();
    };
    addServer(handler);
    addServer(handler);
    tail = "";
    CHECK(call("POST", "/stream/x", {}, "b").isComplete);
    tail = "\r\ndata: a\r\n\r\n";
    CHECK(call("POST", "/stream/x", {}, "b").isComplete);
    tail = GENERATE("id: 2\nda", "id: 2\ndata: 2", "id: 2\ndata: 2\n");
    const CallerAnswer broken = call("POST", "/stream/x", {}, "b");
    CHECK_FALSE(broken.isComplete);
    const CallerAnswer resumed = call("POST", "/resume/x", {}, "b");
    CHECK(resumed.isComplete);
    CHECK(resumed.body == event(1) + event(2));
}

// Guards against a stream that is broken off before its caller's deadline because the time that the
// request waited unread in a busy process is only known as an upper bound.
TEST_CASE_METHOD(
        DirectRouterFixture,
        "direct router, stream of a request that arrived in a busy process, is not cut off")
{
    std::unique_ptr<Timer> rest;
    addServer([&](auto &connection, const std::string &request) {
        connection.send(streamHead(request) + chunk(event(1)));
        rest = std::make_unique<Timer>(
                loop, [&connection] { connection.send(chunk(event(2)) + chunk("")); });
        rest->startOnce(milliseconds(450));
    });
    // The route has a timeout of 600 ms.
    loopDelay = milliseconds(300);
    const CallerAnswer got = call("POST", "/stream/x", {}, "b");
    CHECK(got.isComplete);
    CHECK(got.body == event(1) + event(2));
}

// Guards against a server that abandons a stream that its caller still waits for, because it is
// told an earlier deadline than the one at which the router ends the stream.
TEST_CASE_METHOD(
        DirectRouterFixture,
        "direct router, request that arrived in a busy process, server is told the time of "
        "its stream")
{
    int left = 0;
    addServer([&](auto &connection, const std::string &request) {
        left = std::stoi(headerValue(request, "x-lovagecourse-deadline-ms"));
        connection.send(answer(request, 200, "whole"));
    });
    loopDelay = milliseconds(300);
    // The router ends a stream 600 ms after it has read the request, and others 300 ms earlier.
    call("POST", "/stream/x", {}, "b");
    CHECK(left > 500);
    CHECK(left <= 600);
    call("POST", "/stream/x", {{"x-lovagecourse-deadline-ms", "550"}}, "b");
    CHECK(left > 450);
    CHECK(left <= 550);
    call("POST", "/unsafe/x", {}, "b");
    CHECK(left <= 300);
}

// Guards against the first events of one run followed by all events of another one, as an answer
// that looks whole.
TEST_CASE_METHOD(DirectRouterFixture,
                 "direct router, event stream of a safe route breaks, is not joined with another")
{
    const bool hasIds = GENERATE(true, false);
    const auto piece = [&](int id) {
        return hasIds ? event(id) : "data: " + std::to_string(id) + "\n\n";
    };
    bool isFirst = true;
    const auto handler = [&](auto &connection, const std::string &request) {
        if (std::exchange(isFirst, false)) {
            connection.send(streamHead(request) + chunk(piece(1) + piece(2)));
            connection.reset();
        } else {
            connection.send(streamHead(request) + chunk(piece(1) + piece(2) + piece(3))
                            + "0\r\n\r\n");
        }
    };
    addServer(handler);
    addServer(handler);
    const CallerAnswer got = call("GET", "/safe/x");
    CHECK_FALSE(got.isComplete);
    // An abort may overtake the last bytes.
    CHECK((piece(1) + piece(2)).starts_with(got.body));
    CHECK(requestsAtServers() == 1);
}
