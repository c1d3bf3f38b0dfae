#include "placing/IntakeLimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace lovagecourse;

namespace {

constexpr milliseconds interval{50};

/// Simulates a process that can forward 60 streams at once and gets 200 callers a second, each with
/// a stream of 1.5 s. Each stream above the capacity adds 4 ms to the event loop delay.
struct SmallHostFixture
{
    static constexpr std::size_t capacity = 60;
    static constexpr std::size_t callersPerInterval = 10;
    static constexpr milliseconds streamTime{1500};

    IntakeLimit limit;
    TimePoint now{std::chrono::hours(1)};
    std::deque<TimePoint> ends;
    std::size_t allowed = callersPerInterval;
    double loopDelayMs = 0;

    void play(milliseconds time, std::size_t callers = callersPerInterval)
    {
        for (const TimePoint end = now + time; now < end; now += interval) {
            while (!ends.empty() && ends.front() <= now)
                ends.pop_front();
            const std::size_t taken = std::min(callers, allowed);
            ends.insert(ends.end(), taken, now + streamTime);
            loopDelayMs =
                    ends.size() > capacity ? 4. * static_cast<double>(ends.size() - capacity) : 0;
            allowed = limit.onInterval(loopDelayMs, ends.size(), now);
        }
    }
};

} // namespace

// Guards against a router on a small host that accepts every caller, so that all of them wait for
// seconds.
TEST_CASE_METHOD(SmallHostFixture,
                 "intake limit, five times the load, event loop delay stays short")
{
    play(seconds(4));
    double longestDelayMs = 0;
    for (int i = 0; i < 100; ++i) {
        play(interval);
        longestDelayMs = std::max(longestDelayMs, loopDelayMs);
    }
    CHECK(longestDelayMs < 300);
    CHECK(ends.size() > capacity / 2);
}

// Guards against a limit that does not grow again after an overload.
TEST_CASE_METHOD(SmallHostFixture, "intake limit, usual load again, accepts all callers")
{
    play(seconds(4));
    play(seconds(4), 1);
    CHECK(allowed > 1);
    CHECK(loopDelayMs == 0);
}

// Guards against a router that accepts no connection while the platform considers it ready.
TEST_CASE("intake limit, long event loop delay, still accepts some connections")
{
    IntakeLimit limit;
    TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 100; ++i, now += interval)
        CHECK(limit.onInterval(500, 1000, now) >= 1);
}

// Guards against a limit on a host whose event loop is not overloaded.
TEST_CASE("intake limit, short event loop delay, does not limit")
{
    IntakeLimit limit;
    limit.onInterval(50, 3000, TimePoint(std::chrono::hours(1)));
    CHECK_FALSE(limit.isLimited());
}
