#pragma once

#include "core/LogText.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Component that writes a log line; its name is part of the line.
enum class LogPart : std::uint8_t {
    App,
    Entry,
    Agent,
    Wire,
    Fairness,
    Routing,
    Claims,
    Configuration,
    Membership,
    Platform,
    Gateway,
    Backend
};

/// Severity of a log line, in ascending order.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Log format. Text and Json are written to standard error. Events are written to standard output
/// as lines with "name=value" fields, without blocking and at a bounded rate (see BoundedWriter).
enum class LogFormat : std::uint8_t { Text, Json, Events };

/// Replaces control characters, which names that other programs chose may contain, so that they
/// can't begin a line of their own.
std::string printable(std::string text);

/// Configures the log of the process. Lines below the level are discarded.
void startLog(LogLevel level, LogFormat format, const std::string &daemonName);
/// Returns whether lines of this level are written.
bool isLogged(LogLevel level);
/// Writes one line, whatever the configured level.
void writeLog(LogPart part, LogLevel level, const std::string &line);

/// Longer than most lines, so that few lines allocate more than once.
inline constexpr std::size_t typicalLogLineBytes = 512;

/// Flushes the buffered lines of an Events log and logs how many lines were dropped.
void flushLog();

/// Concatenates the parts as operator<< would write them, and writes them as one line, if the level
/// is logged.
template <class... Parts>
void logLine(LogPart part, LogLevel level, const Parts &...parts)
{
    if (!isLogged(level))
        return;
    std::string line;
    line.reserve(typicalLogLineBytes);
    (appendLogText(line, parts), ...);
    writeLog(part, level, line);
}

template <class... Parts>
void logDebug(LogPart part, const Parts &...parts)
{
    logLine(part, LogLevel::Debug, parts...);
}

template <class... Parts>
void logInfo(LogPart part, const Parts &...parts)
{
    logLine(part, LogLevel::Info, parts...);
}

template <class... Parts>
void logWarning(LogPart part, const Parts &...parts)
{
    logLine(part, LogLevel::Warning, parts...);
}

template <class... Parts>
void logError(LogPart part, const Parts &...parts)
{
    logLine(part, LogLevel::Error, parts...);
}

} // namespace lovagecourse
