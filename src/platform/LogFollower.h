#pragma once

#include "platform/LogClient.h"

#include <functional>
#include <memory>
#include <string>

namespace lovagecourse {

/// Reads a log stream from an offset on, follows it by long polling and retries failed reads.
class LogFollower
{
public:
    /// Called with each batch, including empty ones. If batch.oldest is greater than the next
    /// offset before the call, the records between them expired unread.
    using BatchHandler = std::function<void(const LogBatch &)>;
    /// Called after the first read and whenever the platform's availability changes.
    using AvailabilityHandler = std::function<void(bool available)>;

    LogFollower(EventLoop &loop, LogClient &client, std::string stream, LogOffset from,
                BatchHandler onBatch, AvailabilityHandler onAvailability);
    ~LogFollower();
    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;

    /// Returns true once a read has returned no records, so that all existing records were read.
    bool isCaughtUp() const;
    /// Returns the offset from which the next read starts.
    LogOffset next() const;
    /// Continues at a later offset, when the state up to there was received from another source.
    void skipTo(LogOffset offset);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
