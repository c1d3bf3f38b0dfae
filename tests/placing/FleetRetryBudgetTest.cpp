#include "placing/FleetRetryBudget.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct FleetRetryBudgetFixture
{
    RetryLimits limits{0.2, 50, seconds(10)};
    FleetRetryBudget budget{limits};
    TimePoint now{std::chrono::hours(1)};
};

} // namespace

// Guards against retries of the whole fleet above ratio and slack in any window, when each of four
// routers spends its part on a service that fails every request.
TEST_CASE("fleet retry budget, every request fails, fleet stays within ratio and slack")
{
    const RetryLimits limits{0.2, 50, seconds(10)};
    constexpr std::size_t routers = 4;
    std::vector<FleetRetryBudget> budgets(routers, FleetRetryBudget(limits));
    std::vector<int> requestsPerStep;
    std::vector<int> retriesPerStep;
    const TimePoint start{std::chrono::hours(1)};
    for (int step = 0; step < 400; ++step) {
        const TimePoint now = start + step * milliseconds(100);
        int retries = 0;
        for (FleetRetryBudget &budget : budgets) {
            for (int i = 0; i < 3; ++i) {
                budget.onRequest(now);
                retries += budget.tryTake(routers, now) ? 1 : 0;
            }
        }
        requestsPerStep.push_back(3 * routers);
        retriesPerStep.push_back(retries);
    }
    for (std::size_t first = 0; first + 100 <= retriesPerStep.size(); ++first) {
        int requests = 0;
        int retries = 0;
        for (std::size_t i = first; i < first + 100; ++i) {
            requests += requestsPerStep[i];
            retries += retriesPerStep[i];
        }
        CHECK(retries <= limits.ratio * requests + limits.slack);
    }
}

// Guards against a budget that does not allow a retry of the first request.
TEST_CASE_METHOD(FleetRetryBudgetFixture, "fleet retry budget, one request failed, allows a retry")
{
    budget.onRequest(now);
    CHECK(budget.tryTake(5, now));
}

// Guards against a budget that stays used up after the window.
TEST_CASE_METHOD(FleetRetryBudgetFixture, "fleet retry budget, window over, allows retries again")
{
    while (budget.tryTake(1, now)) {
    }
    CHECK_FALSE(budget.tryTake(1, now));
    now += seconds(11);
    CHECK(budget.tryTake(1, now));
}
