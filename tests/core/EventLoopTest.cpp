#include "core/EventLoop.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace lovagecourse;

// Guards against attributing a delay of this process to a server: an event that waits for a long
// callback must show that wait in delay().
TEST_CASE("event loop, long callback before, delay includes it")
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
