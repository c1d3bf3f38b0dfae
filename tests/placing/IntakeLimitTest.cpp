#include "placing/IntakeLimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace lovagecourse;

namespace {

constexpr milliseconds interval{50};

/// A process that can pass on 60 streams at once and gets 200 callers a second, each for 1.5 s.
/// Each stream beyond what it can pass on makes it 4 ms later.
struct SmallHostFixture
{
    static constexpr std::size_t capacity = 60;
    static constexpr std::size_t callersPerInterval = 10;
    static constexpr milliseconds streamTime{1500};

    IntakeLimit limit;
    TimePoint now{std::chrono::hours(1)};
    std::deque<TimePoint> ends;
    std::size_t allowed = callersPerInterval;
    double lateMs = 0;

    void play(milliseconds time, std::size_t callers = callersPerInterval)
    {
        for (const TimePoint end = now + time; now < end; now += interval) {
            while (!ends.empty() && ends.front() <= now)
                ends.pop_front();
            const std::size_t taken = std::min(callers, allowed);
            ends.insert(ends.end(), taken, now + streamTime);
            lateMs = ends.size() > capacity ? 4. * static_cast<double>(ends.size() - capacity) : 0;
            allowed = limit.onInterval(lateMs, ends.size(), now);
        }
    }
};

} // namespace

// Guards against a small router whose callers all wait for seconds because it takes every one.
TEST_CASE_METHOD(SmallHostFixture,
                 "intake limit, five times the load, process is late only shortly")
{
    play(seconds(4));
    double latest = 0;
    for (int i = 0; i < 100; ++i) {
        play(interval);
        latest = std::max(latest, lateMs);
    }
    CHECK(latest < 300);
    CHECK(ends.size() > capacity / 2);
}

// Guards against a limit that stays when the load is over.
TEST_CASE_METHOD(SmallHostFixture, "intake limit, usual load again, takes all callers")
{
    play(seconds(4));
    play(seconds(4), 1);
    CHECK(allowed > 1);
    CHECK(lateMs == 0);
}

// Guards against a router that takes nobody while the platform counts it as ready.
TEST_CASE("intake limit, late for a long time, still takes some connections")
{
    IntakeLimit limit;
    TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 100; ++i, now += interval)
        CHECK(limit.onInterval(500, 1000, now) >= 1);
}

// Guards against a limit on a host that is in time.
TEST_CASE("intake limit, never late, does not limit")
{
    IntakeLimit limit;
    limit.onInterval(50, 3000, TimePoint(std::chrono::hours(1)));
    CHECK_FALSE(limit.isLimited());
}
