#include "placing/PlacementChoice.h"

#include <xxhash.h>

#include <algorithm>

namespace lovagecourse {

namespace {

// Cost of traffic to another data centre, as the extra wait that is accepted to avoid it. Between
// otherwise equal idle servers, a prompt is prefilled again locally if that takes less than this.
constexpr double remoteCostMs = 12;
// Weight of the prefill time while servers are idle: only this caller waits for it, but it takes
// server time that a burst may need.
constexpr double idlePrefillWeight = 1;
// At this mean wait, a repeated prefill delays other callers as much as this one.
constexpr double busyWaitMs = 40;
constexpr double maxPrefillWeight = 5;
// Range of the affinity cost, which makes all routers prefer the same one of equal servers.
constexpr double affinityCostMs = 20;
// A failed request costs its caller about twice the objective: the failed attempt and the retry.
constexpr double failureCostFactor = 2;
// Servers in backoff are used only if all candidates are.
constexpr double backoffCostMs = 100000;

/// Rendezvous hash of server and prompt in [0, 1), equal in all routers; the lowest wins.
double affinityWeight(const ServerId &server, std::uint64_t promptHash)
{
    // Requests without a prompt share no prefix, so routers must not all prefer the same server.
    if (promptHash == 0)
        return 0;
    constexpr double range = 4294967296.;
    const std::uint64_t hash = XXH64(server.value.data(), server.value.size(), promptHash);
    return static_cast<double>(hash >> 32) / range;
}

} // namespace

std::optional<std::size_t> choosePlacement(std::span<const PlacementCandidate> candidates,
                                           std::uint64_t promptHash, double objectiveMs)
{
    if (candidates.empty())
        return std::nullopt;
    double waitSum = 0;
    double failureRateSum = 0;
    std::size_t reachableCount = 0;
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.isInBackoff)
            continue;
        waitSum += std::min(candidate.waitMs, objectiveMs);
        failureRateSum += candidate.failureRate;
        ++reachableCount;
    }
    const double divisor = std::max<double>(1, static_cast<double>(reachableCount));
    const double prefillWeight =
            std::min(idlePrefillWeight + waitSum / divisor / busyWaitMs, maxPrefillWeight);
    const double meanFailureRate = failureRateSum / divisor;

    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        const double excessFailureRate = std::max(0., candidate.failureRate - meanFailureRate);
        double cost = candidate.waitMs + candidate.baseMs + prefillWeight * candidate.prefillMs;
        cost += excessFailureRate * failureCostFactor * objectiveMs;
        cost += affinityCostMs * affinityWeight(candidate.server, promptHash);
        cost += candidate.isLocal ? 0 : remoteCostMs;
        cost += candidate.spreadCostMs;
        cost += candidate.isInBackoff ? backoffCostMs : 0;
        // The preempted request waits for memory and is prefilled again, and misses its objective.
        cost += candidate.exceedsMemory ? objectiveMs : 0;
        // Penalises servers that would miss the objective.
        cost += std::max(0., candidate.firstByteMs() - objectiveMs);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace lovagecourse
