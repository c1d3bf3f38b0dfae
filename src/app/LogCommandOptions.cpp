#include "app/LogCommandOptions.h"

#include <cxxopts.hpp>

#include <cstdlib>
#include <iostream>

namespace lovagecourse {

namespace {

constexpr double maxTimeoutSeconds = 3600;

cxxopts::Options commandOptions(const LogCommandUsage &usage)
{
    cxxopts::Options options("lovagecourse " + usage.name, usage.description);
    options.positional_help(usage.positional);
    options.add_options()("platform", "URL of the platform (default: LOVAGECOURSE_PLATFORM)",
                          cxxopts::value<std::string>());
    options.add_options()("json", "print JSON");
    options.add_options()("timeout", "timeout of a read or an append, in seconds",
                          cxxopts::value<double>()->default_value("10"));
    options.add_options()("help", "print this text");
    options.add_options("hidden")("command", "", cxxopts::value<std::string>());
    options.add_options("hidden")("arguments", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"command", "arguments"});
    return options;
}

std::optional<LogCommandOptions> printUsageError(const LogCommandUsage &usage,
                                                 const std::string &fault)
{
    std::cerr << "lovagecourse " << usage.name << ": " << fault << '\n' << logCommandHelp(usage);
    return std::nullopt;
}

std::string platformUrl(const cxxopts::ParseResult &parsed)
{
    if (parsed.count("platform") > 0)
        return parsed["platform"].as<std::string>();
    const char *url = std::getenv("LOVAGECOURSE_PLATFORM");
    return url == nullptr ? "" : url;
}

std::optional<LogCommandOptions> checkOptions(const LogCommandUsage &usage,
                                              const cxxopts::ParseResult &parsed,
                                              const LogCommandCheck &check)
{
    LogCommandOptions options;
    options.isHelp = parsed.count("help") > 0;
    if (options.isHelp)
        return options;
    if (parsed.count("command") > 0)
        options.command = parsed["command"].as<std::string>();
    if (parsed.count("arguments") > 0)
        options.arguments = parsed["arguments"].as<std::vector<std::string>>();
    options.platformUrl = platformUrl(parsed);
    options.isJson = parsed.count("json") > 0;
    const double timeout = parsed["timeout"].as<double>();
    if (!(timeout > 0 && timeout <= maxTimeoutSeconds))
        return printUsageError(usage, "--timeout: expected seconds above 0, at most 3600");
    options.timeout = milliseconds(static_cast<std::int64_t>(timeout * 1000) + 1);
    const std::string expected = check(options);
    if (!expected.empty())
        return printUsageError(usage, expected);
    if (options.platformUrl.empty())
        return printUsageError(usage, "--platform: expected the URL of the platform");
    return options;
}

} // namespace

std::optional<LogCommandOptions> parseLogCommand(const LogCommandUsage &usage, int argc,
                                                 char **argv, const LogCommandCheck &check)
{
    try {
        return checkOptions(usage, commandOptions(usage).parse(argc, argv), check);
    } catch (const cxxopts::exceptions::exception &fault) {
        return printUsageError(usage, fault.what());
    }
}

std::string logCommandHelp(const LogCommandUsage &usage)
{
    return commandOptions(usage).help({""});
}

} // namespace lovagecourse
