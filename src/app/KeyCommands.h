#pragma once

namespace lovagecourse {

/// The key is not unsettled, so there is nothing to settle.
constexpr int exitKeyNotUnsettled = 1;
/// An agent may still run the key's request, so nothing was settled.
constexpr int exitKeyMayRun = 3;

/// Runs "keys unsettled | settle ACCOUNT KEY ran|not-run"; argv[0] is "keys". Returns the exit
/// code: 0, one of the codes above, exitPlatform, or exitUsage for wrong arguments.
int runKeyCommand(int argc, char **argv);

} // namespace lovagecourse
