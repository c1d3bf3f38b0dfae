#pragma once

#include "core/Ids.h"
#include "core/Units.h"

#include <optional>
#include <vector>

namespace lovagecourse {

/// Home of a flow among the live entries by rendezvous hashing; empty when there is none.
std::optional<DaemonId> chooseHome(const FlowId &flow, const std::vector<DaemonId> &liveEntries);

} // namespace lovagecourse
