#include "placing/FairPlacement.h"

namespace lovagecourse {

namespace {

// An account must get at least half of its share.
constexpr double secondChoiceShareRatio = 0.5;
// A server that fails its requests at once looks idle.
constexpr double maxFailureRate = 0.5;

} // namespace

bool allowsSecondChoice(double fairShareRatio)
{
    return fairShareRatio < secondChoiceShareRatio;
}

std::optional<std::size_t> chooseFastest(std::span<const PlacementCandidate> candidates,
                                         double objectiveMs)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const PlacementCandidate &candidate = candidates[i];
        const bool isUsable = !candidate.isInBackoff && !candidate.exceedsMemory
                              && candidate.failureRate <= maxFailureRate
                              && candidate.firstByteMs() <= objectiveMs;
        if (!isUsable)
            continue;
        const bool isBetter =
                !best
                || (candidate.isLocal == candidates[*best].isLocal
                            ? candidate.firstByteMs() < candidates[*best].firstByteMs()
                            : candidate.isLocal);
        if (isBetter)
            best = i;
    }
    return best;
}

} // namespace lovagecourse
