#include "placing/PeerLoads.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct PeerLoadsFixture
{
    PeerLoads loads;
    TimePoint now{std::chrono::hours(1)};

    static ReportedServerLoad load(double backlogMs, unsigned running = 1,
                                   std::uint32_t sentTokens = 0, std::uint32_t counter = 0)
    {
        return ReportedServerLoad{PeerLoad{backlogMs, 0, running}, sentTokens, counter};
    }
};

} // namespace

// Guards against a backlog that counts in full although the server has worked on it since.
TEST_CASE_METHOD(PeerLoadsFixture, "peer loads, reports of different age, fall by their age")
{
    loads.apply(0, load(100), now);
    loads.apply(1, load(300), now + milliseconds(40));
    CHECK(loads.sum(now + milliseconds(40)).backlogMs == Approx(390));
    CHECK(loads.sum(now + milliseconds(80)).backlogMs == Approx(350));
    CHECK(loads.sum(now + milliseconds(80)).running == 2);
}

// Guards against load of a stopped router that counts for ever.
TEST_CASE_METHOD(PeerLoadsFixture, "peer loads, one report expires, the other still counts")
{
    loads.apply(0, load(5000, 3), now);
    loads.apply(1, load(5000, 4), now + milliseconds(500));
    CHECK(loads.sum(now + milliseconds(900)).running == 7);
    CHECK(loads.sum(now + milliseconds(1200)).running == 4);
    CHECK(loads.sum(now + milliseconds(1600)).running == 0);
}

// Guards against tokens that are counted twice, or lost, when another relay takes over.
TEST_CASE_METHOD(PeerLoadsFixture, "peer loads, counter starts anew, gives no difference")
{
    CHECK(loads.apply(0, load(0, 0, 5000, 7), now) == 0);
    CHECK(loads.apply(0, load(0, 0, 5600, 7), now) == 600);
    CHECK(loads.apply(0, load(0, 0, 9000, 8), now) == 0);
    CHECK(loads.apply(0, load(0, 0, 9100, 8), now) == 100);
    CHECK(loads.apply(0, load(0, 0, 20, 8), now) == 0);
}

// Guards against a data centre's sum that contains load of other data centres.
TEST_CASE_METHOD(PeerLoadsFixture, "peer loads, sum of members, leaves out the others")
{
    loads.apply(0, load(100, 1), now);
    loads.apply(2, load(200, 2), now);
    const PeerLoad members = loads.sumOf({true, true, false}, now);
    CHECK(members.backlogMs == Approx(100));
    CHECK(members.running == 1);
    loads.forget(0);
    CHECK(loads.sum(now).running == 2);
}
