#pragma once

#include <cxxopts.hpp>

#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace lovagecourse {

/// Parses the options of a sub-command. On --help or an invalid option, prints the usage (after the
/// error, if any) and returns empty.
std::optional<cxxopts::ParseResult> parseCommandLine(cxxopts::Options &options, int argc,
                                                     char **argv);

/// Parses an "a.b.c.d:port" option; prints an error and returns empty if it is missing or
/// malformed.
std::optional<sockaddr_in> addressOption(const cxxopts::ParseResult &arguments,
                                         const std::string &name);

// All numbers are parsed as double in one place: the integer parser of cxxopts, when inlined into
// other functions, causes a false warning of GCC 12 about overlapping memory.

/// Type of a numeric option.
std::shared_ptr<cxxopts::Value> number(const std::string &defaultValue);

/// Type of a text option.
std::shared_ptr<cxxopts::Value> text();

/// Value of a numeric option.
double numberOption(const cxxopts::ParseResult &arguments, const std::string &name);

/// Value of a count option, rounded down; negative values give 0.
std::uint64_t countOption(const cxxopts::ParseResult &arguments, const std::string &name);

/// Value of an option in milliseconds, rounded down; negative values give 0.
std::chrono::milliseconds durationOption(const cxxopts::ParseResult &arguments,
                                         const std::string &name);

/// Prints the line "NAME ready on ADDRESS", by which tests detect that a stand-in accepts
/// connections.
void printReady(const std::string &name, const std::string &address);

} // namespace lovagecourse
