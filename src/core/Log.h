#pragma once

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Part of the program that writes a log line; gives the line its fixed prefix.
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

/// Severity of a log line, least first.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Form of a log. Text and Json go to standard error. Events go to standard output, one line for
/// each decision with fields "name=value"; they never block and their rate is bounded.
enum class LogFormat : std::uint8_t { Text, Json, Events };

/// Sets up the process's log; lines below the level are dropped.
void startLog(LogLevel level, LogFormat format, const std::string &daemonName);
/// True when lines of this level are written.
bool isLogged(LogLevel level);
/// Writes one finished line.
void writeLog(LogPart part, LogLevel level, const std::string &line);

/// Hands over what a log of events holds back; tells of lines that were dropped.
void flushLog();

/// Joins the parts of a short sentence and writes it.
template <class... Parts>
void logLine(LogPart part, LogLevel level, const Parts &...parts)
{
    if (!isLogged(level))
        return;
    std::ostringstream line;
    (line << ... << parts);
    writeLog(part, level, line.str());
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
