#include "../../standins/LoadPlan.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct LoadPlanFixture
{
    LoadProfile profile;

    LoadPlanFixture()
    {
        profile.accounts = {{"a", "ka", 1}, {"b", "kb", 3}};
        profile.targetCount = 2;
        profile.rate = 100;
        profile.longShare = 0.25;
        profile.longTokens = 500;
        profile.seed = 7;
    }

    /// Number of arrivals from second first until second end.
    std::size_t arrivals(double first, double end) const
    {
        LoadPlan plan(profile);
        std::size_t count = 0;
        for (double time = 0; time < end;
             time = static_cast<double>(plan.nextArrival().count()) / 1e9)
            count += time >= first ? 1 : 0;
        return count;
    }
};

} // namespace

// Guards against load runs that are not reproducible from their seed.
TEST_CASE_METHOD(LoadPlanFixture, "load plan, same seed, gives the same requests")
{
    LoadPlan one(profile);
    LoadPlan other(profile);
    for (int round = 0; round < 100; ++round) {
        const PlannedRequest request = one.nextRequest();
        CHECK(request.prompt == other.nextRequest().prompt);
        CHECK(one.nextArrival() == other.nextArrival());
    }
}

// Guards against account weights and a share of long requests that are ignored.
TEST_CASE_METHOD(LoadPlanFixture, "load plan, weights and shares, are met on average")
{
    LoadPlan plan(profile);
    std::size_t ofAccountB = 0;
    std::size_t longRequests = 0;
    for (int round = 0; round < 4000; ++round) {
        const PlannedRequest request = plan.nextRequest();
        ofAccountB += request.account == 1 ? 1 : 0;
        longRequests += request.tokens == 500 ? 1 : 0;
    }
    CHECK(ofAccountB > 2850);
    CHECK(ofAccountB < 3150);
    CHECK(longRequests > 850);
    CHECK(longRequests < 1150);
}

// Guards against arrival rates that differ from those that a load run states.
TEST_CASE_METHOD(LoadPlanFixture, "load plan, swing, has four times the rate at the peak")
{
    CHECK(arrivals(0, 4) > 320);
    CHECK(arrivals(0, 4) < 480);
    profile.hasBursts = true;
    CHECK(arrivals(4, 6) > 700);
    CHECK(arrivals(4, 6) < 900);
    CHECK(arrivals(14, 16) > 700);
}

// Guards against identical prompts, which would get identical answers, and against prefixes that
// never hit a prefix cache.
TEST_CASE_METHOD(LoadPlanFixture, "load plan, one prefix, gives distinct prompts with equal prefix")
{
    profile.prefixes = 1;
    LoadPlan plan(profile);
    const std::string first = plan.nextRequest().prompt;
    const std::string second = plan.nextRequest().prompt;
    CHECK(first != second);
    CHECK(first.substr(0, 256) == second.substr(0, 256));
}
