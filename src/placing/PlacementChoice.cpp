#include "placing/PlacementChoice.h"

#include <xxhash.h>

#include <algorithm>

namespace lovagecourse {

namespace {

// Cost of the traffic to another data centre, in ms of wait that it is worth avoiding for it.
constexpr double remoteCostMs = 12;
// Part of the reading time that counts while servers are idle: only this caller waits for it, and
// reading takes engine time that a burst may need.
constexpr double idleReadingWeight = 1;
// With waits of this length, reading a prompt again costs other callers as much as this one.
constexpr double busyWaitMs = 100;
constexpr double maxReadingWeight = 3;
// Spread of the preference among servers that are alike, below the cost of a remote one.
constexpr double preferenceMs = 20;
// An answer that fails costs its caller about the objective twice: once lost, once repeated.
constexpr double failureCostFactor = 2;
// Servers whose connections fail are used only when all do.
constexpr double avoidedCostMs = 100000;

/// In [0, 1), the same in all daemons.
double preferenceOf(const ServerId &server, std::uint64_t promptHash)
{
    // Requests without a prompt share nothing, so routers must not gather at one server.
    if (promptHash == 0)
        return 0;
    constexpr double range = 4294967296.;
    const std::uint64_t hash = XXH64(server.value.data(), server.value.size(), promptHash);
    return static_cast<double>(hash >> 32) / range;
}

} // namespace

std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           std::uint64_t promptHash, double objectiveMs)
{
    if (candidates.empty())
        return std::nullopt;
    double waitSum = 0;
    double failureSum = 0;
    std::size_t reachable = 0;
    for (const PlacementCandidate &candidate : candidates) {
        if (candidate.isAvoided)
            continue;
        waitSum += std::min(candidate.waitMs, objectiveMs);
        failureSum += candidate.failureShare;
        ++reachable;
    }
    const double divisor = std::max<double>(1, static_cast<double>(reachable));
    const double readingWeight =
            std::min(idleReadingWeight + waitSum / divisor / busyWaitMs, maxReadingWeight);
    const double usualFailures = failureSum / divisor;

    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        const double failures = std::max(0., candidate.failureShare - usualFailures);
        double cost = candidate.waitMs + candidate.baseMs + readingWeight * candidate.readMs;
        cost += failures * failureCostFactor * objectiveMs;
        cost += preferenceMs * preferenceOf(candidate.server, promptHash);
        cost += candidate.isLocal ? 0 : remoteCostMs;
        cost += candidate.isAvoided ? avoidedCostMs : 0;
        // What would be late here goes elsewhere when it can be in time there.
        cost += std::max(0., candidate.firstByteMs() - objectiveMs);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace lovagecourse
