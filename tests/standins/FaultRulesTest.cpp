#include "../../standins/FaultRules.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;
using namespace std::chrono_literals;

// Guards against faults that stay active after a request without rules has cleared them.
TEST_CASE("fault rules, empty object, has no fault")
{
    const auto rules = readFaultRules(nlohmann::json::parse(R"({"map":"*"})"));
    CHECK_FALSE(rules.cut);
    CHECK_FALSE(rules.freeze);
    CHECK(rules.drop == 0);
    std::mt19937_64 random(1);
    CHECK(drawDelay(rules, random) == 0ns);
    CHECK_FALSE(drawBernoulli(0, random));
    CHECK(drawBernoulli(1, random));
}

// Guards against jitter that is not added to the delay, and against a failure on values that are
// not numbers.
TEST_CASE("fault rules, delay and jitter, draw within their bounds")
{
    const auto object = nlohmann::json::parse(R"({"delay_ms":50,"jitter_ms":20,"drop":"x"})");
    const auto rules = readFaultRules(object);
    std::mt19937_64 random(1);
    for (int round = 0; round < 100; ++round) {
        const auto delay = drawDelay(rules, random);
        CHECK(delay >= 50ms);
        CHECK(delay <= 70ms);
    }
    CHECK(rules.drop == 0);
}
