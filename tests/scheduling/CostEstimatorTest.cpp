#include "scheduling/CostEstimator.h"

#include <catch2/catch.hpp>

#include <random>

using namespace lovagecourse;

namespace {

struct CostEstimatorFixture
{
    CostEstimator estimator;
    Service service;
    FlowId flow{AccountId("a"), ServiceId("s")};
};

} // namespace

// Guards against wrong estimates and cost classes when a caller's hints are off by a constant
// factor.
TEST_CASE_METHOD(CostEstimatorFixture, "cost estimator, hints wrong by 10 times, corrects them")
{
    const double factor = GENERATE(0.1, 10.0);
    std::mt19937 random(7);
    for (int i = 0; i < 30; ++i) {
        const double actual = 100 + static_cast<double>(random() % 3000);
        estimator.onFinished(flow, Work(actual * factor), Work(actual));
    }
    const CostEstimate low = estimator.estimate(flow, service, Work(200 * factor));
    CHECK(low.expected.value == Approx(200).epsilon(0.05));
    CHECK(low.costClass == CostClass::Short);
    const CostEstimate high = estimator.estimate(flow, service, Work(2000 * factor));
    CHECK(high.expected.value == Approx(2000).epsilon(0.05));
    CHECK(high.costClass == CostClass::Long);
}

// Guards against estimates that follow hints without relation to the cost instead of the flow's
// mean.
TEST_CASE_METHOD(CostEstimatorFixture, "cost estimator, random hints, uses the mean cost")
{
    std::mt19937 random(7);
    CHECK(estimator.estimate(flow, service, std::nullopt).expected == service.defaultCost);
    for (int i = 0; i < 100; ++i) {
        const double actual = 450 + static_cast<double>(random() % 100);
        estimator.onFinished(flow, Work(actual * (random() % 2 == 0 ? 0.1 : 10)), Work(actual));
    }
    CHECK(estimator.estimate(flow, service, Work(5000)).expected.value == Approx(500).epsilon(0.1));
    CHECK(estimator.estimate(flow, service, std::nullopt).expected.value
          == Approx(500).epsilon(0.1));
}
