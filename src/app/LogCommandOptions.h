#pragma once

#include "core/Clock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagecourse {

/// Parsed command line of a command that reads or appends to the platform's log.
struct LogCommandOptions
{
    /// Sub-command, such as "submit".
    std::string command;
    std::vector<std::string> arguments;
    std::string platformUrl;
    bool isJson = false;
    bool isHelp = false;
    /// Timeout of a whole read or append, retries included.
    milliseconds timeout{10000};
};

/// Help text of a command.
struct LogCommandUsage
{
    /// Name of the command, the first argument of the binary.
    std::string name;
    std::string description;
    /// Synopsis of the sub-commands and their arguments.
    std::string positional;
};

/// Returns the error in the sub-command or its arguments; empty if they are valid.
using LogCommandCheck = std::function<std::string(const LogCommandOptions &)>;

/// Parses a command line; check validates the sub-command and its arguments. Prints an error and
/// returns nothing if the command line is invalid.
std::optional<LogCommandOptions> parseLogCommand(const LogCommandUsage &usage, int argc,
                                                 char **argv, const LogCommandCheck &check);
/// Formats the help text of a command.
std::string logCommandHelp(const LogCommandUsage &usage);

} // namespace lovagecourse
