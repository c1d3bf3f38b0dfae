#pragma once

#include "core/Ids.h"

#include <cstdint>
#include <optional>
#include <span>

namespace lovagecourse {

/// One server that could run a request, with the predictions for the request there.
struct PlacementCandidate
{
    ServerId server;
    /// Wait before the prefill of the request starts, in ms.
    double waitMs = 0;
    /// Prefill time of the uncached part of the prompt, in ms.
    double prefillMs = 0;
    /// Time to first byte without wait and prefill, in ms.
    double baseMs = 0;
    /// Cost of load that makes no wait, in ms.
    double spreadCostMs = 0;
    /// Moving average of failed requests, from 0 to 1.
    double failureRate = 0;
    /// The server is in this router's data centre.
    bool isLocal = true;
    /// A connection broke or could not be opened a short time ago.
    bool isInBackoff = false;
    /// The request would fill the engine's memory, so that a running request is preempted.
    bool exceedsMemory = false;

    double firstByteMs() const { return waitMs + prefillMs + baseMs; }
};

/// Returns the index of the candidate with the lowest cost in ms; empty without candidates. Prompts
/// go to a server that has their prefix cached, and to further ones as its wait grows; slow,
/// failing and remote servers cost more. promptHash makes all routers prefer the same server for a
/// prompt that no server has cached yet; 0 stands for no prompt.
std::optional<std::size_t> choosePlacement(std::span<const PlacementCandidate> candidates,
                                           std::uint64_t promptHash, double objectiveMs);

} // namespace lovagecourse
