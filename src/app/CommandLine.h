#pragma once

namespace lovagecourse {

/// Exit code of a command line or settings file that can't be used.
constexpr int exitUsage = 2;

/// Runs the command that the arguments name; returns the process's exit code.
int runCommandLine(int argc, char **argv);

} // namespace lovagecourse
