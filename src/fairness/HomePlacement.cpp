#include "fairness/HomePlacement.h"

#include <xxhash.h>

namespace lovagecourse {

namespace {

std::uint64_t hashOf(const std::string &text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

std::optional<DaemonId> chooseHome(const FlowId &flow, const std::vector<DaemonId> &liveEntries)
{
    const std::uint64_t flowHash = hashOf(flow.service.value, hashOf(flow.account.value, 0));
    const DaemonId *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const DaemonId &entry : liveEntries) {
        const std::uint64_t weight = hashOf(entry.value, flowHash);
        // Ties are broken by the id, so that the order of the list does not matter.
        const bool wins = !best || weight > bestWeight || (weight == bestWeight && entry < *best);
        if (!wins)
            continue;
        best = &entry;
        bestWeight = weight;
    }
    return best ? std::optional<DaemonId>(*best) : std::nullopt;
}

} // namespace lovagecourse
