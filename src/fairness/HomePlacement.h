#pragma once

#include "core/Ids.h"
#include "core/Units.h"

#include <optional>
#include <vector>

namespace lovagecourse {

/// Chooses the home of a flow among the live entries by rendezvous hashing; empty without entries.
/// The result does not depend on their order.
std::optional<DaemonId> chooseHome(const FlowId &flow, const std::vector<DaemonId> &liveEntries);

} // namespace lovagecourse
