#pragma once

namespace lovagecourse {

/// Exit code for an invalid command line, settings file or release note.
constexpr int exitUsage = 2;

/// Runs the sub-command in argv[1] and returns the exit code of the process.
int runCommandLine(int argc, char **argv);

} // namespace lovagecourse
