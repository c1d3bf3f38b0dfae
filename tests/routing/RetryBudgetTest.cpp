#include "routing/RetryBudget.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against retries that multiply the load while every request fails.
TEST_CASE("retry budget, every request fails, retries stay within ratio and reserve")
{
    RetryBudget budget(0.1, 5);
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onRequest();
        taken += budget.tryTake() ? 1 : 0;
    }
    CHECK(taken >= 100);
    CHECK(taken <= 105);
}

// Guards against a reserve that grows without bound while nothing fails.
TEST_CASE("retry budget, long time without retries, at most the reserve is available")
{
    RetryBudget budget(0.5, 3);
    for (int i = 0; i < 1000; ++i)
        budget.onRequest();
    for (int i = 0; i < 3; ++i)
        CHECK(budget.tryTake());
    CHECK_FALSE(budget.tryTake());
}
