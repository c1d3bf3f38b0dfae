#pragma once

#include <cxxopts.hpp>

#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace lovagecourse {

/// Parses the options of a sub-command; prints the usage or the fault and returns empty otherwise.
std::optional<cxxopts::ParseResult> parseCommandLine(cxxopts::Options &options, int argc,
                                                     char **argv);

/// Reads an "a.b.c.d:port" option; prints a message and returns empty when it is malformed.
std::optional<sockaddr_in> addressOption(const cxxopts::ParseResult &arguments,
                                         const std::string &name);

// Numbers of all kinds are parsed as double in one place: the integer parser of cxxopts, inlined
// into other functions, makes GCC 12 report a false overlap of memory.

/// Type of a number option.
std::shared_ptr<cxxopts::Value> number(const std::string &defaultValue);

/// Type of a text option.
std::shared_ptr<cxxopts::Value> text();

/// Value of a number option.
double numberOption(const cxxopts::ParseResult &arguments, const std::string &name);

/// Value of an option that is a count; negative values count as 0.
std::uint64_t countOption(const cxxopts::ParseResult &arguments, const std::string &name);

/// Value of an option in whole milliseconds.
std::chrono::milliseconds durationOption(const cxxopts::ParseResult &arguments,
                                         const std::string &name);

/// Prints the line that tells tests that a stand-in accepts connections.
void printReady(const std::string &name, const std::string &address);

} // namespace lovagecourse
