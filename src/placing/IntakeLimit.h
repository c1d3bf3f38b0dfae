#pragma once

#include "core/Clock.h"

#include <cstddef>

namespace lovagecourse {

/// How many callers' requests a process has open while it is late with everything. Answers the
/// pattern of a small host that the balancer sends as many callers as a large one: without a limit
/// every caller waits for seconds, and its answer comes after it has left. With it, the process
/// serves at its own pace, and the other callers find out at once that they must go elsewhere.
class IntakeLimit
{
public:
    /// lateMs: how long events waited for the process in the last interval. open: requests that are
    /// open now. Returns the connections to take in the next interval.
    std::size_t onInterval(double lateMs, std::size_t open, TimePoint now);
    bool isLimited() const { return maxOpen_ < unlimitedOpen; }
    double maxOpen() const { return maxOpen_; }

private:
    /// More than a router of the largest host has open.
    static constexpr double unlimitedOpen = 10000;

    double maxOpen_ = unlimitedOpen;
    /// Until then the last fall has not taken effect.
    TimePoint settles_;
};

} // namespace lovagecourse
