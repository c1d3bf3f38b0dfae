#include "placing/Admission.h"
#include "placing/FairShares.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

using namespace lovagecourse;

namespace {

// Caroni: engines on which the prefill of the largest prompt takes half of the objective.
constexpr double tokensPerMs = 61.4;
constexpr double objectiveMs = 600;
constexpr double baseMs = 40;
constexpr double largestTokens = 17020;
constexpr std::size_t accountCount = 5;
constexpr std::size_t engineCount = 8;
constexpr std::size_t warmUpSeconds = 6;
constexpr std::size_t measuredSeconds = 6;

/// Tokens of each account in one second.
struct SecondTotals
{
    std::array<double, accountCount> requested{};
    std::array<double, accountCount> served{};
};

struct OverloadResult
{
    std::vector<SecondTotals> totals{warmUpSeconds + measuredSeconds};
    double servedTokens = 0;
    std::array<unsigned, accountCount> late{};
};

/// All accounts request the same number of tokens: account 0 in prompts of 17,020 tokens, the
/// others in prompts of 500 to 3,500. One prediction in ten misses half of the wait, as other
/// routers' latest requests are not reported yet.
OverloadResult replayOverload(double load, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> share(0, 1);
    std::array<double, engineCount> freeAt{};
    std::array<double, accountCount> nextAt{};
    FairShares shares;
    OverloadResult result;
    const double tokensPerAccount = load * engineCount * tokensPerMs / accountCount;
    const double endMs = 1000. * (warmUpSeconds + measuredSeconds);
    while (true) {
        const auto next = std::min_element(nextAt.begin(), nextAt.end());
        const double time = *next;
        if (time >= endMs)
            return result;
        const auto account = static_cast<std::size_t>(next - nextAt.begin());
        const double tokens = account == 0 ? largestTokens : 500 + 3000 * share(random);
        const double meanTokens = account == 0 ? largestTokens : 2000;
        *next += std::exponential_distribution<double>(tokensPerAccount / meanTokens)(random);

        const TimePoint now = TimePoint(std::chrono::hours(1))
                              + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                      std::chrono::duration<double, std::milli>(time));
        const auto hash = static_cast<AccountHash>(account + 1);
        const auto second = static_cast<std::size_t>(time / 1000);
        result.totals[second].requested[account] += tokens;
        shares.onRequested(hash, tokens, now);

        double sumMs = 0;
        for (const double free : freeAt)
            sumMs += std::max(0., free - time);
        const auto engine = std::min_element(freeAt.begin(), freeAt.end());
        const double waitMs = std::max(0., *engine - time);
        const double prefillMs = tokens / tokensPerMs;
        AdmissionInput input;
        input.waitMs = share(random) < 0.1 ? waitMs / 2 : waitMs;
        input.meanWaitMs = sumMs / engineCount;
        input.firstByteMs = input.waitMs + prefillMs + baseMs;
        input.objectiveMs = objectiveMs;
        input.remainingMs = 8000;
        input.fairShareRatio = shares.fairShareRatio(hash, now);
        if (!std::holds_alternative<Admitted>(decideAdmission(input)))
            continue;
        shares.onAdmitted(hash, tokens, now);
        *engine = time + waitMs + prefillMs;
        result.totals[second].served[account] += tokens;
        result.servedTokens += tokens;
        result.late[account] += waitMs + prefillMs + baseMs > objectiveMs ? 1 : 0;
    }
}

/// Tokens that account 0 got in the measured seconds, and those that it must get: half of what it
/// requested or of what the best-served account got in each second, whichever is less, less three
/// of the largest requests.
struct Fairness
{
    double served = 0;
    double required = -3 * largestTokens;
};

Fairness fairnessOf(const OverloadResult &result)
{
    Fairness fairness;
    for (std::size_t i = warmUpSeconds; i < result.totals.size(); ++i) {
        const SecondTotals &totals = result.totals[i];
        const double best = *std::max_element(totals.served.begin(), totals.served.end());
        fairness.served += totals.served[0];
        fairness.required += std::min(totals.requested[0], best) / 2;
    }
    return fairness;
}

} // namespace

// Guards against an account with large prompts that gets less than half of its share: the margin
// for errors of the prediction refused them while accounts above their share kept the queues at the
// wait that short prompts are admitted at.
TEST_CASE("admission, overload and account with large prompts, gets half of its share")
{
    const double load = GENERATE(1.5, 2.);
    const unsigned seed = GENERATE(1u, 2u, 3u, 4u, 5u);
    const OverloadResult result = replayOverload(load, seed);
    const Fairness fairness = fairnessOf(result);
    CAPTURE(load, seed);
    CHECK(fairness.served >= fairness.required);
    // The margin of the accounts at their share is unchanged, and engines are not idle.
    for (std::size_t i = 1; i < accountCount; ++i)
        CHECK(result.late[i] == 0);
    const double capacity = 1000 * (warmUpSeconds + measuredSeconds) * engineCount * tokensPerMs;
    CHECK(result.servedTokens > 0.97 * capacity);
}
