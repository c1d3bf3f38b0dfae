#pragma once

namespace lovagecourse {

/// Runs "fairness FILE..."; argv[0] is "fairness". Returns 0 if no account obtained less than its
/// due, 1 if one did, or exitUsage for invalid arguments.
int runFairnessCommand(int argc, char **argv);

} // namespace lovagecourse
