#include "../../standins/LoadPlan.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct LoadPlanFixture
{
    LoadMix mix;

    LoadPlanFixture()
    {
        mix.accounts = {{"a", "ka", 1}, {"b", "kb", 3}};
        mix.targetCount = 2;
        mix.rate = 100;
        mix.longShare = 0.25;
        mix.longTokens = 500;
        mix.seed = 7;
    }

    /// Number of arrivals in whole seconds from first to end.
    std::size_t arrivals(double first, double end) const
    {
        LoadPlan plan(mix);
        std::size_t count = 0;
        for (double time = 0; time < end;
             time = static_cast<double>(plan.nextArrival().count()) / 1e9)
            count += time >= first ? 1 : 0;
        return count;
    }
};

} // namespace

// Guards against runs that cannot be repeated from their seed.
TEST_CASE_METHOD(LoadPlanFixture, "load plan, same seed, gives the same requests")
{
    LoadPlan one(mix);
    LoadPlan other(mix);
    for (int round = 0; round < 100; ++round) {
        const PlannedRequest request = one.nextRequest();
        CHECK(request.prompt == other.nextRequest().prompt);
        CHECK(one.nextArrival() == other.nextArrival());
    }
}

// Guards against weights and shares that are ignored.
TEST_CASE_METHOD(LoadPlanFixture, "load plan, weights and shares, are met on average")
{
    LoadPlan plan(mix);
    std::size_t ofAccountB = 0;
    std::size_t longOnes = 0;
    for (int round = 0; round < 4000; ++round) {
        const PlannedRequest request = plan.nextRequest();
        ofAccountB += request.account == 1 ? 1 : 0;
        longOnes += request.tokens == 500 ? 1 : 0;
    }
    CHECK(ofAccountB > 2850);
    CHECK(ofAccountB < 3150);
    CHECK(longOnes > 850);
    CHECK(longOnes < 1150);
}

// Guards against a load that is not the one that a trial reports.
TEST_CASE_METHOD(LoadPlanFixture, "load plan, swing, has four times the rate at the peak")
{
    CHECK(arrivals(0, 4) > 320);
    CHECK(arrivals(0, 4) < 480);
    mix.swings = true;
    CHECK(arrivals(4, 6) > 700);
    CHECK(arrivals(4, 6) < 900);
    CHECK(arrivals(14, 16) > 700);
}

// Guards against prompts that engines cannot tell apart, or whose prefixes never hit a cache.
TEST_CASE_METHOD(LoadPlanFixture, "load plan, one prefix, gives distinct prompts with equal prefix")
{
    mix.prefixes = 1;
    LoadPlan plan(mix);
    const std::string first = plan.nextRequest().prompt;
    const std::string second = plan.nextRequest().prompt;
    CHECK(first != second);
    CHECK(first.substr(0, 256) == second.substr(0, 256));
}
