#include "placing/FairPlacement.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace lovagecourse;

namespace {

constexpr double objectiveMs = 500;

PlacementCandidate candidate(double waitMs, double prefillMs)
{
    PlacementCandidate result;
    result.waitMs = waitMs;
    result.prefillMs = prefillMs;
    result.baseMs = 20;
    return result;
}

} // namespace

// Guards against the choice of an engine with a full queue that has the prefix cached, when one
// that prefills it again would answer in time.
TEST_CASE("fair placement, cached prefix behind a long queue, an idle engine is chosen")
{
    const std::vector<PlacementCandidate> candidates{candidate(470, 24), candidate(300, 109)};
    CHECK(choosePlacement(candidates, 0, objectiveMs) == 0U);
    CHECK(chooseFastest(candidates, objectiveMs) == 1U);
}

TEST_CASE("fair placement, own data centre comes first while it meets the objective")
{
    std::vector<PlacementCandidate> candidates{candidate(10, 20), candidate(300, 20),
                                               candidate(200, 20)};
    candidates[0].isLocal = false;
    CHECK(chooseFastest(candidates, objectiveMs) == 2U);
    candidates[1].waitMs = candidates[2].waitMs = 470;
    CHECK(chooseFastest(candidates, objectiveMs) == 0U);
}

TEST_CASE("fair placement, servers that cannot serve it in time are not chosen")
{
    std::vector<PlacementCandidate> candidates(5, candidate(10, 20));
    candidates[0].isInBackoff = true;
    candidates[1].exceedsMemory = true;
    candidates[2].failureRate = 0.9;
    candidates[3].waitMs = 480;
    candidates[4].waitMs = std::numeric_limits<double>::quiet_NaN();
    CHECK_FALSE(chooseFastest(candidates, objectiveMs).has_value());
    CHECK_FALSE(chooseFastest({}, objectiveMs).has_value());
}

TEST_CASE("fair placement, account at half of its share, no second choice")
{
    CHECK(allowsSecondChoice(0));
    CHECK(allowsSecondChoice(0.49));
    CHECK_FALSE(allowsSecondChoice(0.5));
    CHECK_FALSE(allowsSecondChoice(std::numeric_limits<double>::quiet_NaN()));
}
