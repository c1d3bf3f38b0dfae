#include "placing/RotationPause.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Part of the moving sums that remains after an interval.
constexpr double decay = 0.9;
// A process that rejects fewer callers, or a smaller part of them, has a short burst of callers and
// handles most of them.
constexpr double minRejected = 10;
constexpr double minRejectedShare = 0.25;
// A host that is too small goes on rejecting, for twelve intervals of 50 ms or five longer ones.
// Callers that waited while the process did something else are rejected within fewer.
constexpr double minRejectingMs = 350;
// Caps an interval in the moving sum: a long one may be a single stall.
constexpr double maxCountedIntervalMs = 100;
// Pause of a process that rejects as many callers as it takes; grows with their ratio.
constexpr seconds basePause{6};
constexpr double maxPauseFactor = 5;
constexpr seconds maxPause{120};
// A process that rejects callers again within this time after its return came back too early.
constexpr seconds relapseTime{30};

} // namespace

bool RotationPause::onInterval(std::size_t rejected, std::size_t received, TimePoint now)
{
    rejected_ = decay * rejected_ + static_cast<double>(rejected);
    received_ = decay * received_ + static_cast<double>(received);
    const double intervalMs = std::min(toMs(now - lastInterval_), maxCountedIntervalMs);
    lastInterval_ = now;
    rejectingMs_ = decay * rejectingMs_ + (rejected > 0 ? intervalMs : 0);
    if (rejected == 0 || rejectingMs_ < minRejectingMs || rejected_ < minRejected
        || rejected_ < minRejectedShare * (rejected_ + received_))
        return false;
    const bool isNew = !isPaused(now);
    if (isNew) {
        const bool isRelapse = pausedUntil_ != TimePoint() && now - pausedUntil_ < relapseTime;
        const double factor = std::clamp(rejected_ / std::max(received_, 1.), 1., maxPauseFactor);
        const auto first = std::chrono::duration_cast<std::chrono::nanoseconds>(basePause * factor);
        pause_ = isRelapse ? std::max(2 * pause_, first) : first;
        pause_ = std::min<std::chrono::nanoseconds>(pause_, maxPause);
    }
    // The balancer notices after a second or two, so that rejections go on for as long.
    pausedUntil_ = now + pause_;
    return isNew;
}

} // namespace lovagecourse
