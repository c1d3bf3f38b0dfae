#include "placing/IntakeLimit.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Latency objectives are a few hundred ms, of which this much may be spent in the process. Timers
// on a small host that is not overloaded fire up to 60 ms late.
constexpr double maxLoopDelayMs = 120;
constexpr double decreaseFactor = 0.7;
// Streams that are open when the limit falls end only after about a second. Without the cooldown
// the limit would fall to its minimum meanwhile.
constexpr milliseconds decreaseCooldown{400};
// The limit grows by half in a second of 50 ms intervals, while most of it is in use.
constexpr double growthFactor = 1.02;
constexpr double minUtilisationToGrow = 0.7;
// A few requests are always allowed, so that a limit that fell too far can grow again.
constexpr double minOpen = 8;

} // namespace

std::size_t IntakeLimit::onInterval(double loopDelayMs, std::size_t open, TimePoint now)
{
    const auto count = static_cast<double>(open);
    if (loopDelayMs > maxLoopDelayMs && now >= cooldownUntil_) {
        maxOpen_ = std::max(minOpen, decreaseFactor * std::min(maxOpen_, count));
        cooldownUntil_ = now + decreaseCooldown;
    } else if (loopDelayMs <= maxLoopDelayMs && isLimited()
               && count >= minUtilisationToGrow * maxOpen_) {
        maxOpen_ = std::min(unlimitedOpen, maxOpen_ * growthFactor);
    }
    // The platform expects a process that reports itself as ready to accept some connections.
    return static_cast<std::size_t>(std::max(1., maxOpen_ - count));
}

} // namespace lovagecourse
