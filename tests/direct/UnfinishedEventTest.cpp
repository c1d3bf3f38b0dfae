#include "direct/DirectRouterFixture.h"

using namespace lovagecourse;
using namespace lovagecourse::test;

// Guards against events without end that exceed the memory of the process: each stream may buffer
// one, and a server in trouble sends them in all its answers.
TEST_CASE_METHOD(DirectRouterFixture,
                 "unfinished events, more than the memory holds, largest answers are ended")
{
    constexpr std::size_t limitBytes = 4U << 20;
    constexpr std::size_t eventBytes = 900U << 10;
    constexpr int streamCount = 16;
    limitMemory(limitBytes);
    ScriptedServer &server = addServer([](auto &connection, const std::string &request) {
        if (request.starts_with("GET"))
            return connection.send(answer(request, 200, "whole"));
        connection.send(streamHead(request));
        for (std::size_t sent = 0; sent < eventBytes; sent += 4U << 10)
            connection.send(chunk("data: " + std::string(4U << 10, 'x')));
    });
    std::vector<std::shared_ptr<CallerAnswer>> streams;
    streams.reserve(streamCount);
    for (int i = 0; i < streamCount; ++i)
        streams.push_back(start("POST", "/stream/x", {}, "b"));
    const TimePoint limit = clock.now() + milliseconds(400);
    while (clock.now() < limit)
        runFor(milliseconds(50));
    CHECK(memory->highWaterMark() <= limitBytes);
    // At most four of the events fit.
    const auto mostOpen = static_cast<int>(limitBytes / eventBytes);
    CHECK(server.closedByPeer() >= streamCount - mostOpen);
    CHECK(call("GET", "/safe/x").body == "whole");
    for (const auto &stream : streams)
        CHECK_FALSE((stream->isDone && stream->isComplete && stream->status == 200));
}
