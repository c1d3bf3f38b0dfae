#pragma once

#include "integration/HttpCall.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lovagecourse::test {

/// Streamed chat request in a background thread. A test can observe its progress and pause its
/// reading.
class StreamCall
{
public:
    /// Starts the request; `headers` are complete header lines.
    StreamCall(std::string url, std::string body, std::vector<std::string> headers);
    ~StreamCall();
    StreamCall(const StreamCall &) = delete;
    StreamCall &operator=(const StreamCall &) = delete;

    /// Bytes of the body received so far.
    std::size_t received() const { return received_; }
    bool hasEnded() const { return ended_; }
    /// Pauses (false) or continues (true) reading from the connection.
    void setReading(bool reading) { reading_ = reading; }
    /// Waits for the end of the request.
    const HttpOutcome &outcome();

private:
    static std::size_t onBytes(char *data, std::size_t size, std::size_t count, void *user);
    static int onSocket(void *user, int descriptor, int purpose);
    void run();

    std::string url_;
    std::string body_;
    std::vector<std::string> headers_;
    HttpOutcome outcome_;
    std::atomic<std::size_t> received_{0};
    std::atomic<bool> ended_{false};
    std::atomic<bool> reading_{true};
    std::thread thread_;
};

} // namespace lovagecourse::test
