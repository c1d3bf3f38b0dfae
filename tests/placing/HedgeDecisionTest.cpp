#include "placing/HedgeDecision.h"

#include <catch2/catch.hpp>

#include <random>

using namespace lovagecourse;

namespace {

/// A safe request whose first attempt has taken three times as long as predicted.
struct HedgeDecisionFixture
{
    HedgeInput input;

    HedgeDecisionFixture()
    {
        input.timing = HedgeTiming{80, 200, 1, 1.5, false};
        input.elapsedMs = 240;
        input.remainingMs = 2000;
        input.isRepeatable = true;
        input.sendCount = 1;
        input.maxServers = 3;
        input.meanWaitMs = 10;
        input.objectiveMs = 600;
        input.server = HedgeServer{80, 0, false};
        input.hasBudget = true;
    }
};

} // namespace

// Guards against a hedge in each case in which it is harmful or useless, and against a wrong reason
// in the metrics.
TEST_CASE_METHOD(HedgeDecisionFixture, "hedge decision, each reason to withhold, is reported")
{
    REQUIRE(decideHedge(input) == HedgeVerdict::Send);
    const auto with = [this](auto change) {
        HedgeInput changed = input;
        change(changed);
        return decideHedge(changed);
    };
    CHECK(with([](auto &i) { i.isRepeatable = false; }) == HedgeVerdict::NotRepeatable);
    CHECK(with([](auto &i) { i.maxServers = 1; }) == HedgeVerdict::MaxAttempts);
    CHECK(with([](auto &i) { i.sendCount = 3; }) == HedgeVerdict::MaxAttempts);
    CHECK(with([](auto &i) { i.elapsedMs = 100; }) == HedgeVerdict::TooEarly);
    CHECK(with([](auto &i) { i.hasSuspectTrait = true; }) == HedgeVerdict::SuspectTrait);
    CHECK(with([](auto &i) { i.loopDelayMs = 40; }) == HedgeVerdict::RouterBusy);
    CHECK(with([](auto &i) { i.rejectedAgoMs = 1500; }) == HedgeVerdict::Rejecting);
    CHECK(with([](auto &i) { i.rejectedAgoMs = 2500; }) == HedgeVerdict::Send);
    CHECK(with([](auto &i) { i.meanWaitMs = 200; }) == HedgeVerdict::LongWait);
    CHECK(with([](auto &i) { i.server.reset(); }) == HedgeVerdict::NoServer);
    CHECK(with([](auto &i) { i.server->isInBackoff = true; }) == HedgeVerdict::ServerFailing);
    CHECK(with([](auto &i) { i.server->failureRate = 0.2; }) == HedgeVerdict::ServerFailing);
    CHECK(with([](auto &i) { i.remainingMs = 60; }) == HedgeVerdict::NearDeadline);
    CHECK(with([](auto &i) { i.server->firstByteMs = 300; }) == HedgeVerdict::NoGain);
    CHECK(with([](auto &i) { i.hasBudget = false; }) == HedgeVerdict::NoHedgeBudget);
}

// Guards against hedges that add to an overload, or that run a request twice, for any combination
// of the other inputs.
TEST_CASE("hedge decision, service rejects or waits are long, never sends")
{
    std::mt19937_64 random(4711);
    std::uniform_real_distribution<double> share(0, 1);
    const auto draw = [&](double max) { return share(random) * max; };
    unsigned sent = 0;
    for (int i = 0; i < 200000; ++i) {
        HedgeInput input;
        input.timing = HedgeTiming{draw(400), draw(500), draw(2), draw(6), share(random) < 0.3};
        input.elapsedMs = draw(2000);
        input.remainingMs = draw(2000);
        input.isRepeatable = share(random) < 0.8;
        input.sendCount = 1 + static_cast<unsigned>(draw(3));
        input.maxServers = 1 + static_cast<unsigned>(draw(4));
        input.loopDelayMs = draw(20);
        if (share(random) < 0.5)
            input.rejectedAgoMs = draw(4000);
        input.meanWaitMs = draw(600);
        input.objectiveMs = 600;
        input.server = HedgeServer{draw(400), draw(0.15), share(random) < 0.1};
        input.hasBudget = share(random) < 0.9;
        if (decideHedge(input) != HedgeVerdict::Send)
            continue;
        ++sent;
        const bool isOverloaded =
                (input.rejectedAgoMs && *input.rejectedAgoMs < 2000) || input.meanWaitMs > 120;
        REQUIRE_FALSE(isOverloaded);
        REQUIRE(input.isRepeatable);
        REQUIRE(input.sendCount < input.maxServers);
        REQUIRE(input.hasBudget);
    }
    CHECK(sent > 0);
}

// Guards against a slow server whose requests wait as long as those of a sound one, against hedges
// before the answer is late, and against a delay longer than that of the stalled attempt's retry.
TEST_CASE("hedge delay, few or many answers and slow servers, stays within bounds")
{
    CHECK(hedgeDelayMs({100, 0, 0, 0, false}) == 200);
    CHECK(hedgeDelayMs({100, 200, 1, 1.6, false}) == Approx(160));
    CHECK(hedgeDelayMs({100, 200, 1, 1.6, true}) == Approx(120));
    CHECK(hedgeDelayMs({100, 200, 0.5, 0.6, false}) == Approx(120));
    CHECK(hedgeDelayMs({100, 200, 2, 50, false}) == Approx(300));
    CHECK(hedgeDelayMs({5, 200, 1, 1.6, false}) == 20);
}
