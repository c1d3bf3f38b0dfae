#include "routing/PushChoice.h"

#include <algorithm>

namespace lovagecourse {

namespace {

double load(const Candidate &candidate)
{
    return (candidate.inFlight + candidate.queued) / std::max(1., candidate.limit);
}

} // namespace

std::vector<ServerId> choosePushTarget(const std::vector<Candidate> &candidates,
                                       RoutingPolicy policy, std::mt19937_64 &random)
{
    std::vector<const Candidate *> usable;
    for (const Candidate &candidate : candidates) {
        if (candidate.usable && !candidate.alreadyOffered)
            usable.push_back(&candidate);
    }
    if (usable.empty())
        return {};
    std::shuffle(usable.begin(), usable.end(), random);
    std::size_t sampleSize = usable.size();
    if (policy == RoutingPolicy::PushRandom)
        sampleSize = 1;
    else if (policy == RoutingPolicy::PushTwoChoices)
        sampleSize = std::min<std::size_t>(2, usable.size());
    const auto end = usable.begin() + static_cast<std::ptrdiff_t>(sampleSize);
    const auto best =
            std::min_element(usable.begin(), end, [](const auto *left, const auto *right) {
                return load(*left) < load(*right);
            });
    return {(*best)->server};
}

} // namespace lovagecourse
