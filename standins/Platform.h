#pragma once

namespace lovagecourse {

/// Runs the platform stand-in (log service and host list) until SIGTERM or SIGINT; returns the
/// process's exit code: 0 after a signal, 1 when the address is in use, 2 for wrong options.
int runPlatform(int argc, char **argv);

} // namespace lovagecourse
