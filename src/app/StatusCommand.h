#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lovagecourse {

/// Exit code of a status command that got no answer from the daemon.
constexpr int exitUnreachable = 4;

/// "lovagecourse status --admin ip:port [--json]": prints a daemon's status; returns the process's
/// exit code. A leading "status" among the arguments is skipped.
int runStatusCommand(int argc, char **argv);
/// Status as indented text; arrays of objects become tables.
std::string renderStatus(const nlohmann::json &status);

} // namespace lovagecourse
