#pragma once

#include "placing/PlacementChoice.h"

#include <cstddef>
#include <optional>
#include <span>

namespace lovagecourse {

/// True if a request that is refused at the server with the lowest cost is placed again by
/// chooseFastest(): its account got less than half of its fair share.
bool allowsSecondChoice(double fairShareRatio);

/// Returns the index of the candidate with the shortest predicted time to first byte, whatever it
/// costs the other requests; empty if none meets the objective. Candidates in other data centres
/// count only if none in the own one meets it. Servers in backoff, with full memory or that fail
/// most requests don't count.
///
/// Load: accounts above their share fill the queues of the engines that have an account's prefixes
/// cached. choosePlacement() weights the prefill up to five times and so prefers such an engine to
/// one that would answer in time but has to prefill the prefix again.
std::optional<std::size_t> chooseFastest(std::span<const PlacementCandidate> candidates,
                                         double objectiveMs);

} // namespace lovagecourse
