#pragma once

#include "http/HttpClient.h"
#include "platform/LogRecord.h"

#include <functional>
#include <string>

namespace lovagecourse {

/// Client of the platform's log service and host list.
class LogClient
{
public:
    /// baseUrl such as "http://127.0.0.1:9000". The client must outlive all callbacks.
    LogClient(HttpClient &http, std::string baseUrl);

    /// Appends one record; fails with PlatformUnavailable if no answer arrives within the timeout.
    void append(const std::string &stream, const std::string &recordId, const std::string &body,
                milliseconds timeout, std::function<void(const AppendResult &)> onDone);
    /// Reads records from an offset on; the platform waits up to the given time for the first one
    /// (long poll).
    void read(const std::string &stream, LogOffset from, milliseconds wait,
              std::function<void(const ReadResult &)> onDone);
    /// Lists live and leaving hosts; the platform's list is updated with a delay.
    void listHosts(std::function<void(const HostListResult &)> onDone);

private:
    HttpClient &http_;
    std::string baseUrl_;
};

} // namespace lovagecourse
