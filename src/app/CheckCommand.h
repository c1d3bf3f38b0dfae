#pragma once

namespace lovagecourse {

/// Runs "check FILE [--against FILE] [--settings FILE] [--json]"; argv[0] is "check". Returns one
/// of the exit codes of app/CheckReport.h, or exitUsage for invalid arguments.
int runCheckCommand(int argc, char **argv);

} // namespace lovagecourse
