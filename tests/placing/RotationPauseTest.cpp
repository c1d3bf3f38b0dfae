#include "placing/RotationPause.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace lovagecourse;

namespace {

struct RotationPauseFixture
{
    static constexpr milliseconds interval{50};

    RotationPause pause;
    TimePoint now{std::chrono::hours(1)};

    /// Plays two seconds in which the balancer still sends callers, then waits for the return.
    std::chrono::nanoseconds playOverload(std::size_t rejected, std::size_t received)
    {
        for (int i = 0; i < 40; ++i, now += interval)
            pause.onInterval(rejected, received, now);
        REQUIRE(pause.isPaused(now));
        while (pause.isPaused(now))
            now += interval;
        return pause.pause();
    }

    void playCalm(seconds time)
    {
        for (const TimePoint end = now + time; now < end; now += interval)
            pause.onInterval(0, 2, now);
    }
};

} // namespace

// Guards against a small host that takes a busy caller back every few seconds and rejects it each
// time.
TEST_CASE_METHOD(RotationPauseFixture,
                 "rotation pause, overloaded soon after each return, stays out longer each time")
{
    std::vector<std::chrono::nanoseconds> pauses;
    for (int round = 0; round < 6; ++round) {
        pauses.push_back(playOverload(5, 5));
        playCalm(seconds(2));
    }
    CHECK(pauses
          == std::vector<std::chrono::nanoseconds>{seconds(6), seconds(12), seconds(24),
                                                   seconds(48), seconds(96), seconds(120)});
    playCalm(seconds(40));
    CHECK(playOverload(5, 5) == seconds(6));
}

// Guards against a host that returns at once to a caller that sends many times what it can take.
TEST_CASE_METHOD(RotationPauseFixture,
                 "rotation pause, load far above the capacity, stays out longer at once")
{
    CHECK(playOverload(50, 1) == seconds(30));
}

// Guards against a host that leaves for one burst, so that its callers overload the next hosts one
// after the other.
TEST_CASE_METHOD(RotationPauseFixture,
                 "rotation pause, short burst at a host with room, stays in rotation")
{
    for (int i = 0; i < 40; ++i, now += interval)
        CHECK_FALSE(pause.onInterval(i == 20 ? 17 : 0, 60, now));
    CHECK_FALSE(pause.isPaused(now));
}

// Guards against a host that leaves for many seconds, because callers have waited while the process
// did something else for a second or two.
TEST_CASE_METHOD(RotationPauseFixture,
                 "rotation pause, callers that waited during two stalls, stays in rotation")
{
    playCalm(seconds(1));
    for (int stall = 0; stall < 2; ++stall) {
        now += milliseconds(1500);
        for (int i = 0; i < 4; ++i, now += interval)
            CHECK_FALSE(pause.onInterval(17, 3, now));
    }
    playCalm(seconds(1));
    CHECK_FALSE(pause.isPaused(now));
}
