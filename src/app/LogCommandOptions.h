#pragma once

#include "core/Clock.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lovagecourse {

/// Command line of a command that works on the platform's log.
struct LogCommandOptions
{
    std::string command;
    std::vector<std::string> arguments;
    std::string platformUrl;
    bool isJson = false;
    bool isHelp = false;
    /// Limit for each read and each append.
    milliseconds timeout{10000};
};

/// What a command's help says of it.
struct LogCommandUsage
{
    /// First word after the binary's name.
    std::string name;
    std::string description;
    /// Sub-commands with their arguments.
    std::string positional;
};

/// What was expected of a command line that can't be used; empty when it can.
using LogCommandCheck = std::function<std::string(const LogCommandOptions &)>;

/// Reads a command line and prints what is wrong with it; empty when it can't be used. The check
/// looks at sub-command and arguments.
std::optional<LogCommandOptions> parseLogCommand(const LogCommandUsage &usage, int argc,
                                                 char **argv, const LogCommandCheck &check);
/// Help text of a command.
std::string logCommandHelp(const LogCommandUsage &usage);

} // namespace lovagecourse
