#pragma once

#include "core/Ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace lovagecourse {

/// One server that could take a request, with what is predicted for it.
struct PlacementCandidate
{
    ServerId server;
    /// Wait before the request's own prompt is read, in ms.
    double waitMs = 0;
    /// Time to read the part of the prompt that the server does not keep, in ms.
    double readMs = 0;
    /// Time to answer without wait and reading, in ms.
    double baseMs = 0;
    /// Share of failed requests.
    double failureShare = 0;
    bool isLocal = true;
    /// The connection broke or could not be made a short time ago.
    bool isAvoided = false;

    double firstByteMs() const { return waitMs + readMs + baseMs; }
};

/// Orders candidates by a cost in ms. Answers three patterns of load: many prompts that share
/// their beginning go where it is kept; a hot beginning spreads to further servers as the wait at
/// its first one grows; a slow or failing server gets less. While servers have time to spare, a
/// prompt is read once more in the caller's data centre rather than sent to another one.
/// Returns the index of the best; empty when there is no candidate. promptHash makes all daemons
/// prefer the same server for a prompt that none keeps yet; 0 stands for no prompt.
std::optional<std::size_t> choosePlacement(const std::vector<PlacementCandidate> &candidates,
                                           std::uint64_t promptHash, double objectiveMs);

} // namespace lovagecourse
