#include "placing/KindShares.h"
#include "placing/Admission.h"
#include "placing/PlacementChoice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <numbers>
#include <random>
#include <sstream>
#include <string>
#include <vector>

using namespace lovagecourse;

namespace {

constexpr std::size_t kindCount = 3;
constexpr std::array<double, kindCount> promptTokens{17020, 9190, 1460};
constexpr std::array<double, kindCount> sharedTokens{13300, 6300, 350};
// Parts of the requests on the measured day of Hedegaard.
constexpr std::array<double, kindCount> mix{18376, 13289, 16267};
constexpr std::array<const char *, kindCount> kindNames{"largest", "middle", "smallest"};
constexpr double cachedPart = 0.75;
constexpr double baseMs = 40;
constexpr double warmUpMs = 5000;
constexpr double endMs = 12000;

struct Site
{
    const char *name;
    std::size_t engines;
    std::size_t routers;
    std::size_t dataCentres;
    double tokensPerMs;
    double minSlowness;
    double maxSlowness;
    /// Variation of the demand, as a part of its mean, and its period.
    double variation;
    double periodMs;
    std::array<double, kindCount> objectiveMs;
    std::array<double, kindCount> value;
    double lateValue;
};

const Site hedegaard{"Hedegaard",      55, 30, 4, 157, 0.7, 1.7, 0.275, 17000, {500, 600, 800},
                     {3.9, 1.4, 0.43}, 0.3};
const Site caroni{"Caroni",         42, 23, 3, 61.4, 1, 1, 0.135, 11000, {1000, 800, 600},
                  {3.1, 2.4, 0.42}, 0.5};

struct KindResult
{
    double requested = 0;
    double served = 0;
    double late = 0;

    double inTimePart() const { return requested > 0 ? (served - late) / requested : 0; }
};

struct ReplayResult
{
    std::array<KindResult, kindCount> kinds;
    double prefilledMs = 0;
    double capacityMs = 0;
    double servedTokens = 0;
    double value = 0;
    double valueInTime = 0;
    /// Smallest and largest admitted part of the largest kind in a second.
    double lowestPart = 1;
    double highestPart = 0;
    /// Mean change of the largest kind's factor at one router from one of its requests to the next.
    double factorChange = 0;
};

struct Engine
{
    struct Send
    {
        double time;
        std::size_t router;
        double prefillMs;
    };

    double slowness = 1;
    double freeAt = 0;
    std::deque<Send> sends;
};

TimePoint timeAt(double ms)
{
    return TimePoint(std::chrono::hours(1))
           + std::chrono::duration_cast<std::chrono::nanoseconds>(
                   std::chrono::duration<double, std::milli>(ms));
}

/// All accounts are at their share. Each router knows of its own requests, and of the others' when
/// they are up to maxReportMs old.
ReplayResult replayKinds(const Site &site, double load, bool isBalanced, unsigned seed,
                         double maxReportMs = 50)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<Engine> engines(site.engines);
    std::vector<PlacementCandidate> candidates(site.engines);
    double engineCapacity = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].slowness =
                site.minSlowness + (site.maxSlowness - site.minSlowness) * draw(random);
        engineCapacity += 1 / engines[i].slowness;
        candidates[i].server = ServerId("engine-" + std::to_string(i));
        candidates[i].baseMs = baseMs;
    }
    std::vector<KindShares> shares(site.routers);
    std::discrete_distribution<std::size_t> drawKind(mix.begin(), mix.end());
    double meanTokens = 0;
    for (std::size_t kind = 0; kind < kindCount; ++kind)
        meanTokens += mix[kind] / (mix[0] + mix[1] + mix[2])
                      * (promptTokens[kind] - cachedPart * sharedTokens[kind]);
    const double meanRate = load * engineCapacity * site.tokensPerMs / meanTokens;

    ReplayResult result;
    result.capacityMs = (endMs - warmUpMs) * static_cast<double>(site.engines);
    std::vector<std::array<double, 2>> seconds(static_cast<std::size_t>(endMs / 1000) + 1);
    std::vector<double> lastFactors(site.routers, 1);
    const RequestPriority priority{1, 1};
    for (double time = 0; time < endMs;) {
        const double phase = std::sin(2 * std::numbers::pi * time / site.periodMs);
        const double rate = meanRate * (1 + site.variation * phase);
        time += std::exponential_distribution<double>(rate)(random);
        const std::size_t kind = drawKind(random);
        const auto router =
                static_cast<std::size_t>(draw(random) * static_cast<double>(site.routers));
        const bool isCached = draw(random) < cachedPart;
        // Each prefix is cached by one engine in eight.
        const std::uint64_t prefix = random();
        double waitSum = 0;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            Engine &engine = engines[i];
            PlacementCandidate &candidate = candidates[i];
            double waitMs = std::max(0., engine.freeAt - time);
            while (!engine.sends.empty() && engine.sends.front().time < time - maxReportMs)
                engine.sends.pop_front();
            const double reportedAt = time - maxReportMs * draw(random);
            for (const Engine::Send &send : engine.sends) {
                if (send.time > reportedAt && send.router != router)
                    waitMs = std::max(0., waitMs - send.prefillMs);
            }
            const bool isHolder = isCached && (prefix >> (i % 8)) % 8 == i / 8 % 8;
            candidate.waitMs = waitMs;
            candidate.prefillMs = (promptTokens[kind] - (isHolder ? sharedTokens[kind] : 0))
                                  / site.tokensPerMs * engine.slowness;
            candidate.isLocal = i % site.dataCentres == router % site.dataCentres;
            waitSum += std::min(waitMs, site.objectiveMs[kind]);
        }
        const std::size_t chosen =
                choosePlacement(candidates, prefix, site.objectiveMs[kind]).value_or(0);
        Engine &engine = engines[chosen];
        const PlacementCandidate &candidate = candidates[chosen];
        AdmissionInput input;
        input.waitMs = candidate.waitMs;
        input.meanWaitMs = waitSum / static_cast<double>(engines.size());
        input.firstByteMs = candidate.firstByteMs();
        input.objectiveMs = site.objectiveMs[kind];
        input.remainingMs = 8000;
        input.fairShareRatio = 1;
        const KindRequest request{priority, kindNames[kind], site.objectiveMs[kind],
                                  promptTokens[kind]};
        if (isBalanced)
            input.kindFactor = shares[router].factor(request, timeAt(time));
        const bool isAdmitted = std::holds_alternative<Admitted>(decideAdmission(input));
        shares[router].onDecision(request, isAdmitted, timeAt(time));
        const bool isMeasured = time >= warmUpMs;
        KindResult &kindResult = result.kinds[kind];
        kindResult.requested += isMeasured ? 1 : 0;
        if (kind == 0) {
            seconds[static_cast<std::size_t>(time / 1000)][0] += 1;
            if (isMeasured)
                result.factorChange += std::abs(input.kindFactor - lastFactors[router]);
            lastFactors[router] = input.kindFactor;
        }
        if (!isAdmitted)
            continue;
        const double prefillMs = candidate.prefillMs * (0.9 + 0.2 * draw(random));
        engine.freeAt = std::max(engine.freeAt, time) + prefillMs;
        engine.sends.push_back({time, router, prefillMs});
        if (!isMeasured)
            continue;
        const bool isLate = engine.freeAt + baseMs - time > site.objectiveMs[kind];
        kindResult.served += 1;
        kindResult.late += isLate ? 1 : 0;
        result.prefilledMs += prefillMs;
        result.servedTokens += promptTokens[kind];
        result.value += site.value[kind] * (isLate ? site.lateValue : 1);
        result.valueInTime += isLate ? 0 : site.value[kind];
        if (kind == 0)
            seconds[static_cast<std::size_t>(time / 1000)][1] += 1;
    }
    result.factorChange /= std::max(1., result.kinds[0].requested);
    for (std::size_t i = static_cast<std::size_t>(warmUpMs / 1000); i + 1 < seconds.size(); ++i) {
        const double part = seconds[i][1] / std::max(1., seconds[i][0]);
        result.lowestPart = std::min(result.lowestPart, part);
        result.highestPart = std::max(result.highestPart, part);
    }
    return result;
}

/// The figures of a replay, for reports.
std::string describe(const ReplayResult &result)
{
    std::ostringstream text;
    for (const KindResult &kind : result.kinds)
        text << kind.inTimePart() << " in time, " << kind.late << " late; ";
    text << "tokens " << result.servedTokens << ", value in time " << result.valueInTime
         << ", largest per second " << result.lowestPart << " to " << result.highestPart
         << ", factor change " << result.factorChange;
    return text.str();
}

} // namespace

// Guards against kinds with a tight objective and long prompts that are crowded out, and against a
// balance that costs value, engine time or answers in time at any load.
TEST_CASE("kind shares, replay of Hedegaard, longest prompts are served as often as others")
{
    const double load = GENERATE(1., 1.5, 2., 4.);
    const ReplayResult before = replayKinds(hedegaard, load, false, 1);
    const ReplayResult after = replayKinds(hedegaard, load, true, 1);
    CAPTURE(load, describe(before), describe(after));
    CHECK(after.valueInTime > 0.98 * before.valueInTime);
    CHECK(after.servedTokens > 0.98 * before.servedTokens);
    if (load > 1) {
        CHECK(after.valueInTime > 1.03 * before.valueInTime);
        CHECK(after.kinds[0].inTimePart() > 1.1 * before.kinds[0].inTimePart());
        CHECK(after.prefilledMs > 0.97 * after.capacityMs);
        // Steady within the demand's variation.
        CHECK(after.highestPart - after.lowestPart < before.highestPart - before.lowestPart + 0.1);
        CHECK(after.factorChange < 0.02);
    }
}

// Guards against a balance where the longest prompts have the longest objective: raising short
// prompts there costs up to 70% of the value.
TEST_CASE("kind shares, replay of Caroni, decides as without the balance")
{
    const double load = GENERATE(1., 2.);
    const ReplayResult before = replayKinds(caroni, load, false, 1);
    const ReplayResult after = replayKinds(caroni, load, true, 1);
    CHECK(after.valueInTime == before.valueInTime);
    CHECK(after.factorChange == 0);
}

// Guards against a factor that acts without refusals, with a single kind, with kinds of different
// priority or with too few requests to decide.
TEST_CASE("kind shares, nothing to compare, factor is exactly 1")
{
    const KindRequest large{{1, 1}, "large", 500, 17020};
    KindRequest small{{1, 1}, "small", 800, 1460};
    const TimePoint now = timeAt(0);
    bool isLargeRefused = true;
    int requests = 100;
    SECTION("no refusals")
    {
        isLargeRefused = false;
    }
    SECTION("one kind")
    {
        small.kind = large.kind;
    }
    SECTION("different route priority")
    {
        small.priority = {1, 2};
    }
    SECTION("different account priority")
    {
        small.priority = {0, 1};
    }
    SECTION("same objective")
    {
        small.objectiveMs = 500;
    }
    SECTION("same prompts")
    {
        small.promptTokens = 17020;
    }
    SECTION("too few requests")
    {
        requests = 10;
    }
    SECTION("plain requests")
    {
        small.promptTokens = 0;
    }
    SECTION("values not finite")
    {
        small.promptTokens = std::numeric_limits<double>::quiet_NaN();
        small.objectiveMs = std::numeric_limits<double>::infinity();
    }
    SECTION("negative values")
    {
        small.objectiveMs = -800;
    }
    KindShares shares;
    for (int i = 0; i < requests; ++i) {
        shares.onDecision(large, !isLargeRefused, now);
        shares.onDecision(small, true, now);
    }
    CHECK(shares.factor(large, now) == 1);
    CHECK(shares.factor(small, now) == 1);
}

// Guards against factors outside their bounds, and against a balance that outlives the overload.
TEST_CASE("kind shares, one kind refused, factors within bounds until the refusals are old")
{
    const KindRequest large{{1, 1}, "large", 500, 17020};
    const KindRequest small{{1, 1}, "small", 800, 1460};
    KindShares shares;
    for (int i = 0; i < 200; ++i) {
        shares.onDecision(large, false, timeAt(i));
        shares.onDecision(small, true, timeAt(i));
    }
    CHECK(shares.factor(large, timeAt(200)) == KindShares::maxFactor);
    CHECK(shares.factor(small, timeAt(200)) == Approx(0.5).margin(0.01));
    // A clock that is set back is no reason to forget.
    CHECK(shares.factor(large, timeAt(100)) == KindShares::maxFactor);
    for (int i = 0; i < 20000; i += 20) {
        shares.onDecision(large, true, timeAt(200 + i));
        shares.onDecision(small, true, timeAt(200 + i));
    }
    CHECK(shares.factor(large, timeAt(20200)) == 1);
    CHECK(shares.factor(small, timeAt(20200)) == 1);
}
