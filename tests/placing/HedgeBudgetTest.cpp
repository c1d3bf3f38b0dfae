#include "placing/HedgeBudget.h"

#include "placing/FleetRetryBudget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace lovagecourse;

namespace {

constexpr milliseconds stepLength{250};
constexpr std::size_t steps = 64;
constexpr std::size_t stepsPerWindow = 40;
constexpr double share = 0.05;
const RetryLimits limits{0.2, 86, seconds(10)};

/// A router with its own budgets and its late view of the fleet.
struct BudgetRouter
{
    HedgeBudget hedges{share};
    FleetRetryBudget retries{limits};
    double requestsPerStep = 0;
    std::size_t routersSeen = 1;
};

/// Arrivals, hedges and retries of all routers in one step.
struct StepCounts
{
    double requests = 0;
    double hedges = 0;
    double retries = 0;
};

/// Routers of a fleet whose demand changes; each wants a hedge or a retry for most requests.
struct BudgetFleet
{
    BudgetFleet(std::size_t routerCount, std::uint64_t seed)
        : random(seed)
        , routers(routerCount)
    {
        for (BudgetRouter &router : routers) {
            router.requestsPerStep = std::exponential_distribution<double>(0.3)(random);
            router.routersSeen = routerCount;
        }
    }

    double draw() { return std::uniform_real_distribution<double>(0, 1)(random); }

    /// Reports of other routers are lost or late, so a router misses up to a fifth of the fleet;
    /// its demand changes; or it restarts, and has used nothing as far as it knows.
    void change(BudgetRouter &router)
    {
        const double event = draw();
        if (event < 0.1) {
            const double missing = draw() * 0.2 * static_cast<double>(routers.size());
            router.routersSeen = routers.size() - static_cast<std::size_t>(missing);
        } else if (event < 0.15) {
            router.requestsPerStep = std::min(router.requestsPerStep * (0.2 + 2.8 * draw()), 40.);
        } else if (event < 0.1505) {
            router.hedges = HedgeBudget(share);
            router.retries = FleetRetryBudget(limits);
        }
    }

    StepCounts step(TimePoint now)
    {
        StepCounts counts;
        for (BudgetRouter &router : routers) {
            change(router);
            const int arrivals = std::poisson_distribution<int>(router.requestsPerStep)(random);
            for (int i = 0; i < arrivals; ++i) {
                ++counts.requests;
                router.hedges.onRequest(now);
                router.retries.onRequest(now);
                const bool isHedged = router.hedges.canTake(now)
                                      && router.retries.tryTake(router.routersSeen, now);
                if (isHedged && router.hedges.tryTake(now))
                    ++counts.hedges;
                if (draw() < 0.3 && router.retries.tryTake(router.routersSeen, now))
                    ++counts.retries;
            }
        }
        return counts;
    }

    std::mt19937_64 random;
    std::vector<BudgetRouter> routers;
};

/// Checks the bounds at each step of one history.
struct BudgetObserver
{
    void add(const StepCounts &counts)
    {
        totalRequests += counts.requests;
        totalHedges += counts.hedges;
        for (StepCounts *sum : {&window, &twoWindows}) {
            sum->requests += counts.requests;
            sum->hedges += counts.hedges;
            sum->retries += counts.retries;
        }
        history.push_back(counts);
        drop(window, stepsPerWindow);
        drop(twoWindows, 2 * stepsPerWindow);
        const bool isAboveShare = totalHedges > share * totalRequests + 1e-6
                                  || window.hedges > share * twoWindows.requests + 1e-6;
        const bool isAboveBudget =
                window.hedges + window.retries > limits.ratio * window.requests + limits.slack;
        aboveShare += isAboveShare ? 1 : 0;
        aboveBudget += isAboveBudget ? 1 : 0;
    }

    void drop(StepCounts &sum, std::size_t length) const
    {
        if (history.size() <= length)
            return;
        const StepCounts &old = history[history.size() - 1 - length];
        sum.requests -= old.requests;
        sum.hedges -= old.hedges;
        sum.retries -= old.retries;
    }

    std::vector<StepCounts> history;
    StepCounts window;
    StepCounts twoWindows;
    double totalRequests = 0;
    double totalHedges = 0;
    unsigned aboveShare = 0;
    unsigned aboveBudget = 0;
};

} // namespace

// Guards against hedges of all routers above the share of the service's requests, and against
// hedges and retries together above the retry budget in any window, when reports between routers
// are lost or late, demand moves between routers and routers restart.
TEST_CASE("hedge budget, 1,000 histories at 3, 25 and 103 routers, is never exceeded")
{
    double hedges = 0;
    unsigned aboveShare = 0;
    unsigned aboveBudget = 0;
    for (const std::size_t routerCount : {3, 25, 103}) {
        for (std::uint64_t seed = 0; seed < 1000; ++seed) {
            BudgetFleet fleet(routerCount, seed * 1000 + routerCount);
            BudgetObserver observer;
            TimePoint now{std::chrono::hours(1)};
            for (std::size_t step = 0; step < steps; ++step) {
                observer.add(fleet.step(now));
                now += stepLength;
            }
            hedges += observer.totalHedges;
            aboveShare += observer.aboveShare;
            aboveBudget += observer.aboveBudget;
        }
    }
    CHECK(hedges > 0);
    CHECK(aboveShare == 0);
    CHECK(aboveBudget == 0);
}

// Guards against hedges without a share, and against a share that is not reached.
TEST_CASE("hedge budget, share, allows exactly that part of the requests")
{
    TimePoint now{std::chrono::hours(1)};
    for (const double part : {0., 0.02, 0.5, 1.}) {
        HedgeBudget budget(part);
        unsigned taken = 0;
        for (int i = 0; i < 1000; ++i) {
            now += milliseconds(10);
            budget.onRequest(now);
            taken += budget.tryTake(now) ? 1 : 0;
        }
        CHECK(taken == static_cast<unsigned>(1000 * part));
    }
}

// Guards against a burst of hedges that hours without one have earned, and against hedges that
// outlast a share that was set to zero.
TEST_CASE("hedge budget, quiet time or share taken away, earns nothing")
{
    TimePoint now{std::chrono::hours(1)};
    HedgeBudget budget(0.1);
    for (int i = 0; i < 1000; ++i)
        budget.onRequest(now);
    CHECK(budget.canTake(now));
    CHECK_FALSE(budget.canTake(now + seconds(11)));
    for (int i = 0; i < 100; ++i)
        budget.onRequest(now + seconds(12));
    CHECK(budget.canTake(now + seconds(12)));
    budget.setShare(0);
    CHECK_FALSE(budget.canTake(now + seconds(12)));
}
