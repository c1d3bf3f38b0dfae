#pragma once

#include "core/EventLoop.h"
#include "http/HttpClient.h"
#include "platform/LogClient.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace lovagecourse {

/// An append whose answer never came.
struct NoteAppendFailure
{
    /// False only when no attempt reached the platform.
    bool mayBeStored = true;
    PlatformFailure failure;
};

/// What went wrong, as the end of a sentence about the platform.
std::string toString(const PlatformFailure &failure);
/// Fresh record id that begins with the prefix.
std::string randomRecordId(const std::string &prefix);

/// Blocking access of the operators' commands to one stream of the log.
class NoteLog
{
public:
    /// Each call gives up after the timeout.
    NoteLog(const std::string &platformUrl, milliseconds timeout,
            std::string stream = "configuration");

    /// Reads all records that are there from the offset on; retries while the platform is down.
    ReadResult readAll(LogOffset from);
    /// Appends one record; repeats a lost append with the same id, which stores it only once.
    std::variant<LogOffset, NoteAppendFailure> append(const std::string &recordId,
                                                      const std::string &body);

private:
    /// Runs the loop until the operation has a result or the deadline passes.
    template <class Result>
    Result await(TimePoint deadline,
                 const std::function<void(std::function<void(const Result &)>)> &start);
    /// Waits between two attempts, longer from attempt to attempt; false at the deadline.
    bool pause(int attempt, TimePoint deadline);

    EventLoop loop_;
    HttpClient http_;
    LogClient client_;
    std::string stream_;
    milliseconds timeout_;
    SystemClock clock_;
};

} // namespace lovagecourse
