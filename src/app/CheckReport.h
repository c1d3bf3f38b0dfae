#pragma once

#include "checking/ConfigurationDifference.h"

#include <cstddef>
#include <string>
#include <vector>

namespace lovagecourse {

/// Exit codes of the check: no finding, warnings only, errors.
constexpr int exitCheckClean = 0;
constexpr int exitCheckWarnings = 1;
constexpr int exitCheckErrors = 2;

/// Error or warning in one of the files that were checked.
struct CheckMessage
{
    /// Name for programs, such as "route-shadowed".
    std::string kind;
    std::string file;
    /// Path of the field, such as "routes[3].service"; empty if it concerns the whole file.
    std::string path;
    /// Position in the file, from 1; both are 0 if it is unknown.
    std::size_t line = 0;
    std::size_t column = 0;
    std::string text;
};

/// Result of the check of one configuration.
struct CheckReport
{
    std::string file;
    /// What makes routers reject a file, or what prevented the check.
    std::vector<CheckMessage> errors;
    std::vector<CheckMessage> warnings;
    std::vector<Difference> differences;
    /// Whether the configuration was compared with the version in force.
    bool isCompared = false;
    /// Whether limits were checked against the routers' settings.
    bool hasSettings = false;
};

/// Returns the exit code of the process.
int exitCodeOf(const CheckReport &report);
/// Differences that the text lists of each kind of entry.
constexpr std::size_t maxShownDifferences = 100;

/// Formats the report as text: one line for each error, warning and changed field, then the counts.
/// Of the differences of one kind of entry, it lists the first ones and the number of the others.
std::string formatText(const CheckReport &report);
/// Formats the report as one JSON object.
std::string formatJson(const CheckReport &report);

} // namespace lovagecourse
