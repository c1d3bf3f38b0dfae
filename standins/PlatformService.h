#pragma once

#include "LogStore.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace lovagecourse {

/// One HTTP request to the platform stand-in.
struct PlatformRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    /// Value of the header Record-Id; empty if it is missing.
    std::string recordId;
    std::string body;
};

/// HTTP answer of the platform stand-in; the body is JSON.
struct PlatformAnswer
{
    unsigned status = 200;
    std::string body;
};

/// Request handling of the platform stand-in: record streams, host list, statistics, and failure
/// modes that a control request selects. Thread-safe.
class PlatformService
{
public:
    PlatformService(std::chrono::seconds retention, std::uint64_t seed);

    /// Handles a request; empty if the connection must be closed without an answer.
    std::optional<PlatformAnswer> handle(const PlatformRequest &request);
    /// Ends waiting reads; later reads return without waiting.
    void stop();

private:
    /// Down: requests fail with 503 or without an answer, at random. Slow: requests are delayed.
    /// LoseAnswers: records are stored, but appends get no answer.
    enum class Mode { Up, Down, Slow, LoseAnswers };

    std::optional<PlatformAnswer> handleLog(const PlatformRequest &request);
    PlatformAnswer append(const std::string &stream, const PlatformRequest &request);
    std::optional<PlatformAnswer> read(const std::string &stream, const PlatformRequest &request);
    PlatformAnswer listHosts();
    PlatformAnswer setHost(const std::string &host, const std::string &body);
    PlatformAnswer control(const std::string &body);
    PlatformAnswer expire(const std::string &body);
    PlatformAnswer stats() const;
    std::optional<PlatformAnswer> answerWhileDown();
    void delayWhileSlow();
    bool losesThisAnswer();
    bool isDown();

    LogStore store_;
    std::mutex mutex_;
    Mode mode_ = Mode::Up;
    std::chrono::milliseconds delay_{0};
    /// Number of further appends that get no answer in mode LoseAnswers.
    std::uint64_t answersToLose_ = 0;
    std::map<std::string, std::string> hosts_;
    std::mt19937_64 random_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::uint64_t> appends_{0};
    std::atomic<std::uint64_t> repeatedAppends_{0};
    std::atomic<std::uint64_t> lostAnswers_{0};
    std::atomic<std::uint64_t> reads_{0};
    std::atomic<std::uint64_t> recordsRead_{0};
    std::atomic<std::uint64_t> refusedWhileDown_{0};
};

} // namespace lovagecourse
