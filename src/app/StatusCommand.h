#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace lovagecourse {

/// Exit code: the status could not be fetched or is not valid JSON.
constexpr int exitUnreachable = 4;

/// Runs "status --admin a.b.c.d:port [--json]" and returns the exit code of the process. A leading
/// "status" in argv[1] is skipped.
int runStatusCommand(int argc, char **argv);
/// Formats a status as indented text; arrays of objects become tables.
std::string renderStatus(const nlohmann::json &status);

} // namespace lovagecourse
