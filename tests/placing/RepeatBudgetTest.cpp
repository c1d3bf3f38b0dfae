#include "placing/RepeatBudget.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct RepeatBudgetFixture
{
    RepeatLimits limits{0.2, 50, seconds(10)};
    RepeatBudget budget{limits};
    TimePoint now{std::chrono::hours(1)};
};

} // namespace

// Replays a service that fails every request, before four routers. Guards against repeats of the
// fleet above the ratio and the slack in any window.
TEST_CASE("repeat budget, everything fails, fleet stays within ratio and slack")
{
    const RepeatLimits limits{0.2, 50, seconds(10)};
    constexpr std::size_t routers = 4;
    std::vector<RepeatBudget> budgets(routers, RepeatBudget(limits));
    std::vector<int> requestsPerStep;
    std::vector<int> repeatsPerStep;
    const TimePoint start{std::chrono::hours(1)};
    for (int step = 0; step < 400; ++step) {
        const TimePoint now = start + step * milliseconds(100);
        int repeats = 0;
        for (RepeatBudget &budget : budgets) {
            for (int i = 0; i < 3; ++i) {
                budget.onRequest(now);
                repeats += budget.tryTake(routers, now) ? 1 : 0;
            }
        }
        requestsPerStep.push_back(3 * routers);
        repeatsPerStep.push_back(repeats);
    }
    for (std::size_t first = 0; first + 100 <= repeatsPerStep.size(); ++first) {
        int requests = 0;
        int repeats = 0;
        for (std::size_t i = first; i < first + 100; ++i) {
            requests += requestsPerStep[i];
            repeats += repeatsPerStep[i];
        }
        CHECK(repeats <= limits.ratio * requests + limits.slack);
    }
}

// Guards against a budget that never allows a repeat of the first request.
TEST_CASE_METHOD(RepeatBudgetFixture, "repeat budget, one request failed, allows a repeat")
{
    budget.onRequest(now);
    CHECK(budget.tryTake(5, now));
}

// Guards against a budget that stays used up.
TEST_CASE_METHOD(RepeatBudgetFixture, "repeat budget, window over, allows repeats again")
{
    while (budget.tryTake(1, now)) {
    }
    CHECK_FALSE(budget.tryTake(1, now));
    now += seconds(11);
    CHECK(budget.tryTake(1, now));
}
