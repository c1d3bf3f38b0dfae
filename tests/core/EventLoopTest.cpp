#include "core/EventLoop.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace lovagecourse;

// Guards against a delay of this process that is taken for one of a server.
TEST_CASE("event loop, callback before took long, delay counts it")
{
    EventLoop loop;
    CHECK(loop.delay() == std::chrono::nanoseconds(0));
    std::chrono::nanoseconds idle{};
    std::chrono::nanoseconds busy{};
    Timer quiet(loop, [&] {
        idle = loop.delay();
        std::this_thread::sleep_for(milliseconds(60));
    });
    Timer late(loop, [&] {
        busy = loop.delay();
        loop.stop();
    });
    quiet.startOnce(milliseconds(20));
    late.startOnce(milliseconds(21));
    loop.run();
    CHECK(idle < milliseconds(20));
    CHECK(busy >= milliseconds(59));
}
