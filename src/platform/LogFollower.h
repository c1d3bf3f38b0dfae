#pragma once

#include "platform/LogClient.h"

#include <functional>
#include <memory>
#include <string>

namespace lovagecourse {

/// Reads a stream from its oldest record on and keeps up with it by long poll.
class LogFollower
{
public:
    /// Called with each batch, also with empty ones. When batch.oldest is beyond what was read
    /// last, records expired in between.
    using BatchHandler = std::function<void(const LogBatch &)>;
    /// Called when the platform's availability changes.
    using AvailabilityHandler = std::function<void(bool available)>;

    LogFollower(EventLoop &loop, LogClient &client, std::string stream, LogOffset from,
                BatchHandler onBatch, AvailabilityHandler onAvailability);
    ~LogFollower();
    LogFollower(const LogFollower &) = delete;
    LogFollower &operator=(const LogFollower &) = delete;

    /// True once a read returned no more records than were folded: all that was there was read.
    bool isCaughtUp() const;
    /// Offset to be read next.
    LogOffset next() const;
    /// Continues at a later offset, when the state up to there came from elsewhere.
    void skipTo(LogOffset offset);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
