#pragma once

namespace lovagecourse {

/// Runs the sub-command `platform`, a stand-in for the platform's log service and host list, until
/// SIGTERM or SIGINT. Returns the exit status: 0 after a signal, 1 if the address cannot be bound,
/// 2 for invalid options.
int runPlatform(int argc, char **argv);

} // namespace lovagecourse
