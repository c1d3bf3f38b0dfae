#include "placing/LatencyDistribution.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <random>

using namespace lovagecourse;

namespace {

constexpr double predictedMs = 80;
const TimePoint start{std::chrono::hours(1)};

/// Time to first byte of a server that is this many times slower than predicted.
double drawElapsedMs(std::mt19937_64 &random, double slowness)
{
    std::lognormal_distribution<double> noise(0, 0.25);
    return predictedMs * slowness * noise(random);
}

} // namespace

// Guards against quantiles that are off by more than a bin, from which hedges would go out too
// early or too late.
TEST_CASE("latency distribution, answers of known spread, gives their quantiles")
{
    std::mt19937_64 random(7);
    LatencyDistribution distribution;
    for (int i = 0; i < 5000; ++i)
        distribution.observe(drawElapsedMs(random, 1), predictedMs);
    CHECK(distribution.quantile(0.5) == Approx(1).epsilon(0.2));
    CHECK(distribution.quantile(0.95) == Approx(std::exp(0.25 * 1.645)).epsilon(0.2));
    CHECK(distribution.meanAbove(1.5) > 1.5);
    CHECK(distribution.meanAbove(500) == 500);
}

// Guards against a crash or an unusable distribution after times that are absent, negative, huge or
// no number.
TEST_CASE("latency distribution, unusable times, stays usable")
{
    LatencyDistribution distribution;
    CHECK(distribution.quantile(0.95) == 0);
    for (const double elapsed : {-5., 0., 1e300, std::numeric_limits<double>::infinity(),
                                 std::numeric_limits<double>::quiet_NaN()})
        distribution.observe(elapsed, 0);
    CHECK(std::isfinite(distribution.quantile(1)));
    CHECK(std::isfinite(distribution.meanAbove(1)));
    ServerLateness lateness;
    lateness.observe(std::numeric_limits<double>::quiet_NaN(), -1, start);
    CHECK(lateness.ratio() == 1);
}

// Guards against a slow server that is found only after many late answers, and against sound
// servers that are taken for slow: 1,000 runs of servers with usual noise.
TEST_CASE("server lateness, server 4 to 8 times slower, is found within its first answers")
{
    std::mt19937_64 random(20261206);
    std::uniform_real_distribution<double> slowness(4, 8);
    unsigned foundLate = 0;
    unsigned falselyFound = 0;
    for (int run = 0; run < 1000; ++run) {
        const double factor = slowness(random);
        ServerLateness slow;
        ServerLateness sound;
        for (int answer = 0; answer < 3; ++answer)
            slow.observe(drawElapsedMs(random, factor), predictedMs, start);
        foundLate += slow.isSlow() ? 0 : 1;
        for (int answer = 0; answer < 50; ++answer) {
            sound.observe(drawElapsedMs(random, 1), predictedMs, start);
            falselyFound += sound.isSlow() ? 1 : 0;
        }
    }
    CHECK(foundLate == 0);
    CHECK(falselyFound == 0);
}

// Guards against a server that counts as slow for one answer that is late by chance.
TEST_CASE("server lateness, one very late answer, does not make a server slow")
{
    ServerLateness lateness;
    lateness.observe(100 * predictedMs, predictedMs, start);
    CHECK_FALSE(lateness.isSlow());
}
