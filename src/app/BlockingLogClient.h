#pragma once

#include "core/EventLoop.h"
#include "http/HttpClient.h"
#include "platform/LogClient.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace lovagecourse {

/// Failure of an append after all retries.
struct AppendFailure
{
    /// False only if no attempt can have stored the record.
    bool mayBeStored = true;
    /// Failure of the last attempt.
    PlatformFailure failure;
};

/// Describes a failure for an error message.
std::string toString(const PlatformFailure &failure);
/// Returns a random record id with the given prefix.
std::string randomRecordId(const std::string &prefix);

/// Blocking client for one stream of the platform's log, for command-line tools. Retries failed
/// requests with backoff until the timeout of the call; requests that the platform rejected are not
/// retried.
class BlockingLogClient
{
public:
    /// timeout: limit of each call, retries included.
    BlockingLogClient(const std::string &platformUrl, milliseconds timeout,
                      std::string stream = "configuration");

    /// Reads all records from the offset to the end of the stream.
    ReadResult readAll(LogOffset from);
    /// Appends one record. All attempts use the same record id, so it is stored only once.
    std::variant<LogOffset, AppendFailure> append(const std::string &recordId,
                                                  const std::string &body);

private:
    /// Starts an operation and runs the event loop until it has a result or the deadline passes.
    template <class Result>
    Result await(TimePoint deadline,
                 const std::function<void(std::function<void(const Result &)>)> &start);
    /// Waits before the next attempt (exponential backoff with jitter). Returns false if the
    /// deadline has passed.
    bool backOff(int attempt, TimePoint deadline);

    EventLoop loop_;
    HttpClient http_;
    LogClient client_;
    std::string stream_;
    milliseconds timeout_;
    SystemClock clock_;
};

} // namespace lovagecourse
