#pragma once

#include "core/Clock.h"

#include <cstddef>

namespace lovagecourse {

/// Limits the open requests of a process whose event loop is overloaded, such as one on a small
/// host that the load balancer sends as many callers as a large one. Without the limit every caller
/// waits for seconds and leaves before its answer; with it, excess callers are rejected at once and
/// can use another router.
class IntakeLimit
{
public:
    /// loopDelayMs: delay of the event loop in the last interval. open: number of open requests.
    /// Returns the number of connections to accept in the next interval, at least 1.
    std::size_t onInterval(double loopDelayMs, std::size_t open, TimePoint now);
    bool isLimited() const { return maxOpen_ < unlimitedOpen; }
    double maxOpen() const { return maxOpen_; }

private:
    /// More requests than a router on the largest host has open; stands for no limit.
    static constexpr double unlimitedOpen = 10000;

    double maxOpen_ = unlimitedOpen;
    /// Until then the limit does not fall again, because the last decrease has not taken effect.
    TimePoint cooldownUntil_;
};

} // namespace lovagecourse
