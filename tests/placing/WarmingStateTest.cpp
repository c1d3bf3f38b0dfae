#include "placing/WarmingState.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct WarmingStateFixture
{
    WarmingState state;
    TimePoint now{std::chrono::hours(1)};

    WarmingStateFixture()
    {
        setWarmingLimits(state, WarmingLimits{milliseconds(3000), 6}, now);
        setWarmingShare(state, 0.5, milliseconds(0), now);
    }

    int sendFor(milliseconds time)
    {
        int sent = 0;
        for (const TimePoint end = now + time; now < end; now += milliseconds(10)) {
            if (isWarming(state, now) && hasWarmingToken(state, now)) {
                takeWarmingToken(state, now);
                ++sent;
            }
        }
        return sent;
    }
};

} // namespace

// Guards against a burst to a server that has just started, and against one that is limited after
// its time.
TEST_CASE_METHOD(WarmingStateFixture,
                 "warming state, new run, gets its share until its time is over")
{
    CHECK(hasWarmingToken(state, now));
    onWarmingReported(state, milliseconds(3000), now);
    CHECK_FALSE(hasWarmingToken(state, now));
    CHECK(warmingLeft(state, now) == seconds(3));
    // A quarter of the rate is not used: 6 x 0.75 x 0.5 = 2.25 a second.
    const int sent = sendFor(milliseconds(3000));
    CHECK(sent >= 5);
    CHECK(sent <= 7);
    CHECK_FALSE(isWarming(state, now));
}

// Guards against deployments without these limits that are treated differently than before.
TEST_CASE_METHOD(WarmingStateFixture, "warming state, service without limits, is never warming")
{
    for (const WarmingLimits limits : {WarmingLimits{}, WarmingLimits{milliseconds(3000), 0},
                                       WarmingLimits{milliseconds(0), 6}}) {
        state = WarmingState();
        setWarmingLimits(state, limits, now);
        onWarmingReported(state, milliseconds(3000), now);
        onConnectionBroken(state, now);
        onMayBeCold(state, now);
        CHECK_FALSE(isWarming(state, now));
        CHECK(hasWarmingToken(state, now));
    }
}

// Guards against a huge time that withholds a server for ever.
TEST_CASE_METHOD(WarmingStateFixture, "warming state, huge time, is cut to the service's")
{
    onWarmingReported(state, milliseconds(1000000000000), now);
    CHECK(warmingLeft(state, now) == seconds(3));
    WarmingState early;
    onWarmingReported(early, milliseconds(1000000000000), now);
    setWarmingLimits(early, WarmingLimits{milliseconds(3000), 6}, now);
    CHECK(warmingLeft(early, now) == seconds(3));
}

// Guards against a burst to a server that has restarted behind broken connections, under the same
// id and with the store away, however long it was down.
TEST_CASE_METHOD(WarmingStateFixture,
                 "warming state, connections broken, holds until a run is shown")
{
    onConnectionBroken(state, now);
    const TimePoint broken = now;
    sendFor(milliseconds(10000));
    CHECK(isWarming(state, now));
    onAnswered(state, broken - milliseconds(1), now);
    onAnswered(state, now - milliseconds(100), now);
    CHECK(isWarming(state, now + milliseconds(2999)));
    CHECK_FALSE(isWarming(state, now + milliseconds(3000)));
    onRunShown(state, broken - milliseconds(1));
    CHECK(isWarming(state, now));
    onRunShown(state, broken);
    CHECK_FALSE(isWarming(state, now));
    onConnectionBroken(state, now);
    onListRead(state, now + milliseconds(2999));
    CHECK(isWarming(state, now));
    onListRead(state, now + milliseconds(3000));
    CHECK_FALSE(isWarming(state, now));
    onConnectionBroken(state, now);
    CHECK_FALSE(isWarming(state, now + seconds(30)));
}

// Guards against a server that says later that it is warm, or again cold, and is not believed.
TEST_CASE_METHOD(WarmingStateFixture, "warming state, later statements, replace earlier ones")
{
    onWarmingReported(state, milliseconds(3000), now);
    onWarmingReported(state, milliseconds(0), now + milliseconds(500));
    now += seconds(1);
    CHECK_FALSE(isWarming(state, now));
    onWarmingReported(state, milliseconds(2000), now);
    CHECK(warmingLeft(state, now) == seconds(2));
    CHECK_FALSE(hasWarmingToken(state, now));
    CHECK(state.since == now);
}
