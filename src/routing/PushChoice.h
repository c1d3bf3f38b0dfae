#pragma once

#include "routing/CandidateChoice.h"
#include "settings/DaemonSettings.h"

#include <random>
#include <vector>

namespace lovagecourse {

/// The server to which a push policy assigns a request: the least loaded of one, two or all usable
/// servers; empty when none is usable. Push policies are baselines for benchmarks.
std::vector<ServerId> choosePushTarget(const std::vector<Candidate> &candidates,
                                       RoutingPolicy policy, std::mt19937_64 &random);

} // namespace lovagecourse
