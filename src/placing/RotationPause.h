#pragma once

#include "core/Clock.h"

#include <cstddef>

namespace lovagecourse {

/// Decides when a process that rejects callers leaves the balancer's rotation, and for how long.
/// The balancer sends a caller to the same router each time, so a host that is too small for one
/// busy caller rejects it until it leaves the caller to other hosts. It stays out for longer the
/// more it rejected, and each time that it returns too early. A process that rejects callers for a
/// moment, because they waited while it did something else, stays in the rotation.
class RotationPause
{
public:
    /// Counts of one interval of 50 ms. Returns true if a pause has begun.
    bool onInterval(std::size_t rejected, std::size_t received, TimePoint now);
    bool isPaused(TimePoint now) const { return now < pausedUntil_; }
    std::chrono::nanoseconds pause() const { return pause_; }

private:
    /// Moving sums over about half a second.
    double rejected_ = 0;
    double received_ = 0;
    /// Length of the intervals in which callers were rejected.
    double rejectingMs_ = 0;
    TimePoint lastInterval_;
    std::chrono::nanoseconds pause_{0};
    TimePoint pausedUntil_;
};

} // namespace lovagecourse
