#include "placing/RequestLimit.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct RequestLimitFixture
{
    RequestLimit limit;
    TimePoint now{std::chrono::hours(1)};

    /// Sends whenever there is room, in steps of 1 ms; returns the number of requests.
    int sendFor(milliseconds time)
    {
        int sent = 0;
        for (const TimePoint end = now + time; now < end; now += milliseconds(1)) {
            if (!hasRoom(limit, now))
                continue;
            takeRoom(limit, now);
            ++sent;
        }
        return sent;
    }
};

} // namespace

// Guards against more requests than this router's part of what the server takes.
TEST_CASE_METHOD(RequestLimitFixture, "request limit, named, leaves room for its part only")
{
    CHECK(hasRoom(limit, now));
    CHECK(onLimitNamed(limit, 20, 0.25, now, now));
    CHECK_FALSE(hasRoom(limit, now));
    CHECK(timeToRoom(limit, now) == milliseconds(200));
    CHECK(sendFor(milliseconds(4000)) == 19);
    // What was not used is kept for a short time only.
    now += seconds(30);
    CHECK(sendFor(milliseconds(1000)) <= 7);
}

// Guards against a limit that takes effect late when it falls, or that begins anew when it is named
// again.
TEST_CASE_METHOD(RequestLimitFixture, "request limit, named again, has the new rate at once")
{
    onLimitNamed(limit, 100, 1, now, now);
    now += milliseconds(10);
    CHECK_FALSE(onLimitNamed(limit, 100, 1, now, now));
    CHECK(hasRoom(limit, now));
    takeRoom(limit, now);
    CHECK(onLimitNamed(limit, 1, 1, now, now));
    CHECK(timeToRoom(limit, now) == seconds(1));
}

// Guards against a server that is flooded at the moment at which it names a higher limit or none,
// and against a limit that never rises.
TEST_CASE_METHOD(RequestLimitFixture, "request limit, rises or ends, is in force after the window")
{
    onLimitNamed(limit, 10, 1, now, now);
    now += seconds(1);
    const bool ends = GENERATE(true, false);
    if (ends)
        CHECK(onLimitAbsent(limit, now, now + milliseconds(1)));
    else
        CHECK(onLimitNamed(limit, 1000, 1, now, now));
    now += milliseconds(10);
    CHECK(sendFor(milliseconds(3980)) <= 45);
    updateLimit(limit, 1, now);
    CHECK(limit.perSecond == 10.);
    now += milliseconds(20);
    updateLimit(limit, 1, now);
    CHECK(sendFor(milliseconds(1000)) >= 900);
}

// Guards against a limit that goes up and down and lets the highest of its values through.
TEST_CASE_METHOD(RequestLimitFixture,
                 "request limit, goes up and down, the lowest in the window holds")
{
    int sent = 0;
    for (int second = 0; second < 20; ++second) {
        onLimitNamed(limit, second % 2 == 0 ? 10 : 100, 1, now, now);
        sent += sendFor(milliseconds(1000));
    }
    CHECK(sent <= 20 * 10 + 5);
}

// Guards against a limit that an answer to an earlier request ends, or an older report brings back.
TEST_CASE_METHOD(RequestLimitFixture, "request limit, news in any order, the latest holds")
{
    const TimePoint sentBefore = now - milliseconds(5);
    onLimitNamed(limit, 10, 1, now, now);
    CHECK_FALSE(onLimitAbsent(limit, sentBefore, now + milliseconds(1)));
    CHECK_FALSE(hasRoom(limit, now));
    CHECK(onLimitAbsent(limit, now + milliseconds(2), now + milliseconds(7)));
    CHECK_FALSE(limit.named);
    CHECK_FALSE(onLimitNamed(limit, 10, 1, now + milliseconds(6), now + milliseconds(9)));
    CHECK_FALSE(limit.named);
    updateLimit(limit, 1, now + milliseconds(7) + limitWindow);
    CHECK(hasRoom(limit, now));
    CHECK(onLimitNamed(limit, 10, 1, now + seconds(8), now + seconds(9)));
    CHECK_FALSE(hasRoom(limit, now + seconds(9)));
}

// Guards against a server that is never asked again because it named a limit of zero.
TEST_CASE_METHOD(RequestLimitFixture, "request limit, zero, leaves room for a request now and then")
{
    onLimitNamed(limit, 0, 1, now, now);
    CHECK(sendFor(milliseconds(3900)) == 0);
    CHECK(sendFor(milliseconds(4000)) == 1);
}
