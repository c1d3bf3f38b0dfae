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

// Guards against an overload that is seen where the process waits, and against one that is not
// seen.
TEST_CASE("event loop, callbacks take half of the time, busy share tells it")
{
    EventLoop loop;
    int rounds = 0;
    Timer timer(loop, [&] {
        const auto end = std::chrono::steady_clock::now() + milliseconds(10);
        while (std::chrono::steady_clock::now() < end) {
        }
        if (++rounds == 10)
            loop.stop();
    });
    loop.takeBusyShare();
    timer.startRepeating(milliseconds(20));
    loop.run();
    const double share = loop.takeBusyShare();
    CHECK(share > 0.2);
    CHECK(share < 0.95);
}

// Guards against what must be known in time waiting behind callers' input.
TEST_CASE("event loop, events in one iteration, handled by priority")
{
    EventLoop loop;
    std::string order;
    Timer low(
            loop, [&] { order += 'l'; }, EventPriority::Low);
    Timer high(
            loop, [&] { order += 'h'; }, EventPriority::High);
    Timer normal(loop, [&] { order += 'n'; });
    Timer late(loop, [] { std::this_thread::sleep_for(milliseconds(20)); });
    Timer end(loop, [&] { loop.stop(); });
    for (Timer *timer : {&low, &high, &normal})
        timer->startOnce(milliseconds(10));
    late.startOnce(milliseconds(1));
    end.startOnce(milliseconds(60));
    loop.run();
    CHECK(order == "hnl");
}

// Guards against a process that is late because of what it reads from the store, and that counts as
// one that was suspended.
TEST_CASE("event loop, long callback of high priority, busy share and delay contain it")
{
    EventLoop loop;
    std::chrono::nanoseconds delay{};
    double share = 0;
    Timer work(
            loop,
            [] {
                const auto end = std::chrono::steady_clock::now() + milliseconds(60);
                while (std::chrono::steady_clock::now() < end) {
                }
            },
            EventPriority::High);
    Timer last(loop, [&] {
        delay = loop.delay();
        share = loop.takeBusyShare();
        loop.stop();
    });
    // An iteration before, so that the time between two of them is measured.
    Timer first(loop, [&] { loop.takeBusyShare(); });
    first.startOnce(milliseconds(1));
    work.startOnce(milliseconds(20));
    last.startOnce(milliseconds(20));
    loop.run();
    CHECK(delay >= milliseconds(59));
    CHECK(share > 0.5);
}
