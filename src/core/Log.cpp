#include "core/Log.h"

#include "core/Ascii.h"
#include "core/BoundedWriter.h"

#include <boost/log/attributes/mutable_constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <utility>

namespace lovagecourse {

namespace {

constexpr std::array<std::string_view, 12> partNames{
        "app",    "entry",         "agent",      "wire",     "fairness", "routing",
        "claims", "configuration", "membership", "platform", "gateway",  "backend"};
constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};

struct LogState
{
    LogLevel level = LogLevel::Warning;
    LogFormat format = LogFormat::Text;
    std::string daemonName;
    boost::log::sources::logger logger;
    bool hasSink = false;
    BoundedWriter events{STDOUT_FILENO};
};

LogState &logState()
{
    static LogState state;
    return state;
}

/// Returns the time of a line. The text of the whole second is kept for the lines that follow in
/// it.
std::string timestamp()
{
    thread_local std::time_t formattedSecond = -1;
    thread_local std::array<char, 40> text{};
    thread_local std::size_t length = 0;
    constexpr int millisDigits = 1000;
    const auto now = std::chrono::system_clock::now();
    const auto sinceEpoch = now.time_since_epoch();
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    const std::time_t wholeSeconds = std::chrono::system_clock::to_time_t(now);
    if (wholeSeconds != formattedSecond) {
        std::tm utc{};
        gmtime_r(&wholeSeconds, &utc);
        length = std::strftime(text.data(), text.size(), "%FT%T", &utc);
        formattedSecond = wholeSeconds;
    }
    // The leading digit keeps the zeros of the fraction.
    const std::string fraction = std::to_string(millisDigits + millis % millisDigits);
    std::string result(text.data(), length);
    return result.append(1, '.').append(fraction, 1).append(1, 'Z');
}

std::string formatLine(LogPart part, LogLevel level, const std::string &line)
{
    const std::string_view partName = partNames[static_cast<std::size_t>(part)];
    const std::string_view levelName = levelNames[static_cast<std::size_t>(level)];
    if (logState().format == LogFormat::Json) {
        const nlohmann::json json{{"time", timestamp()},
                                  {"level", levelName},
                                  {"part", partName},
                                  {"daemon", logState().daemonName},
                                  {"message", line}};
        return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
    constexpr std::size_t prefixBytes = 96;
    std::string out;
    out.reserve(line.size() + prefixBytes);
    out.append(timestamp()).append(1, ' ').append(levelName).append(1, ' ');
    out.append(logState().daemonName).append(" [").append(partName).append("] ").append(line);
    return printable(std::move(out));
}

} // namespace

std::string printable(std::string text)
{
    std::replace_if(text.begin(), text.end(), isControl, '?');
    return text;
}

void startLog(LogLevel level, LogFormat format, const std::string &daemonName)
{
    LogState &state = logState();
    state.level = level;
    state.format = format;
    state.daemonName = daemonName;
    if (state.hasSink)
        return;
    if (format == LogFormat::Events) {
        state.hasSink = true;
        return;
    }
    using Backend = boost::log::sinks::text_ostream_backend;
    auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::clog, [](std::ostream *) {}));
    backend->auto_flush(true);
    boost::log::core::get()->add_sink(
            boost::make_shared<boost::log::sinks::synchronous_sink<Backend>>(backend));
    state.hasSink = true;
}

bool isLogged(LogLevel level)
{
    return logState().hasSink && level >= logState().level;
}

void writeLog(LogPart part, LogLevel level, const std::string &line)
{
    LogState &state = logState();
    if (state.format == LogFormat::Events) {
        state.events.writeLine(formatLine(part, level, line), std::chrono::steady_clock::now());
        return;
    }
    BOOST_LOG(state.logger) << formatLine(part, level, line);
}

void flushLog()
{
    LogState &state = logState();
    if (const std::uint64_t dropped = state.events.takeDropped())
        logWarning(LogPart::App, "event=log-lines-dropped count=", dropped);
    state.events.flush();
}

} // namespace lovagecourse
