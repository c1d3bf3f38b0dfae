#include "fairness/FleetSimulation.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct FairnessPropertyFixture
{
    SimulationOptions options;

    FairnessPropertyFixture()
    {
        // Accounts 2 and 3 use one agent only, account 1 queues 60 offers at each agent, and cost
        // hints are absent, right or wrong by a factor of 10.
        options.accounts = {{4, -1, 1, 4}, {1, -1, 10, 60}, {1, 0, 0.1, 4}, {2, 1, 10, 4},
                            {1, -1, 0, 4}, {3, -1, 0.1, 4}, {2, -1, 1, 4},  {1, -1, 10, 4}};
    }

    /// Runs for 30 s. The service gap must stay within 1 s of capacity plus twice the largest
    /// request, and no account may wait longer than that gap takes to serve.
    void checkGap()
    {
        FleetSimulation fleet(options);
        fleet.run(seconds(30));
        INFO("seed " << options.seed);
        CHECK(fleet.largestGap <= 1);
        CHECK(fleet.longestWait <= 1);
    }
};

} // namespace

// Guards against service gaps that come from the delay between service and its report.
TEST_CASE_METHOD(FairnessPropertyFixture,
                 "fairness property, healthy fleet, keeps the gap and the waits bounded")
{
    options.seed = GENERATE(range(1U, 5U));
    checkGap();
}

// Guards against service that is counted twice or not at all when reports and totals are lost,
// repeated or reordered.
TEST_CASE_METHOD(FairnessPropertyFixture,
                 "fairness property, lost, repeated and late messages, keeps the gap bounded")
{
    options.seed = GENERATE(range(11U, 16U), values({1127U}));
    options.lossRate = 0.2;
    options.repeatRate = 0.1;
    options.lateRate = 0.1;
    checkGap();
}

// Guards against service that is lost or counted twice when homes are killed and agents restart.
TEST_CASE_METHOD(FairnessPropertyFixture,
                 "fairness property, homes killed and agents restarted, keeps the gap bounded")
{
    // In earlier versions, the seeds above 1000 led to gaps of up to 1.95 times the bound.
    options.seed = GENERATE(range(21U, 27U), values({1037U, 1081U, 1101U, 1156U}));
    options.lossRate = 0.1;
    options.repeatRate = 0.1;
    options.lateRate = 0.1;
    options.killsHomes = true;
    options.restartsAgents = true;
    checkGap();
}

// Guards against accounts that accumulate credit while they pause and later starve the others.
TEST_CASE_METHOD(FairnessPropertyFixture,
                 "fairness property, accounts that pause often, keeps the gap of the steady ones")
{
    options.seed = GENERATE(range(41U, 45U));
    options.lossRate = 0.1;
    options.accounts.push_back({4, -1, 1, 4, milliseconds(700)});
    options.accounts.push_back({2, -1, 10, 4, milliseconds(5000)});
    checkGap();
}

// Shows that the tests above depend on the exchange of reports: without it the bound is exceeded.
TEST_CASE_METHOD(FairnessPropertyFixture,
                 "fairness property, positions from own service alone, exceeds the gap")
{
    options.exchangesReports = false;
    FleetSimulation fleet(options);
    fleet.run(seconds(30));
    CHECK(fleet.largestGap > 1);
}
