#include "placing/IntakeLimit.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// A caller's objective is a few hundred ms, of which this part may pass in the process. Ticks of a
// small host that is not overloaded are up to 60 ms late.
constexpr double allowedLateMs = 120;
constexpr double fallFactor = 0.7;
// Streams that are open when the limit falls end only after a second or so. Without the pause it
// would fall to nothing meanwhile.
constexpr milliseconds settlingTime{400};
// Grows by half in a second of intervals of 50 ms, while it binds.
constexpr double growthPerInterval = 1.02;
constexpr double bindingShare = 0.7;
// A few requests always fit, so that a limit that fell too far can grow again.
constexpr double leastOpen = 8;

} // namespace

std::size_t IntakeLimit::onInterval(double lateMs, std::size_t open, TimePoint now)
{
    const auto count = static_cast<double>(open);
    if (lateMs > allowedLateMs && now >= settles_) {
        maxOpen_ = std::max(leastOpen, fallFactor * std::min(maxOpen_, count));
        settles_ = now + settlingTime;
    } else if (lateMs <= allowedLateMs && isLimited() && count >= bindingShare * maxOpen_) {
        maxOpen_ = std::min(unlimitedOpen, maxOpen_ * growthPerInterval);
    }
    // The platform expects a ready process to take some connections.
    return static_cast<std::size_t>(std::max(1., maxOpen_ - count));
}

} // namespace lovagecourse
