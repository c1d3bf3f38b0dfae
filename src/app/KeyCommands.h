#pragma once

namespace lovagecourse {

/// Exit code: the key is not unsettled, or an earlier record settled it with the other result.
constexpr int exitKeyNotUnsettled = 1;
/// Exit code: an agent may still run the key's request, so the key was not settled.
constexpr int exitKeyMayRun = 3;

/// Runs "keys unsettled | settle ACCOUNT KEY ran|not-run"; argv[0] is "keys". Returns the exit
/// code: 0, one of the codes above, exitPlatformFailure, or exitUsage for invalid arguments.
int runKeyCommand(int argc, char **argv);

} // namespace lovagecourse
