#include "placing/UrgencyRanks.h"

#include <cmath>

namespace lovagecourse {

namespace {

// Time constant; the same as the window of FairShares.
constexpr seconds window{4};
// Levels with fewer recent requests are dropped.
constexpr double minCount = 0.01;

} // namespace

double UrgencyRanks::onRequest(const RequestPriority &priority, TimePoint now)
{
    if (decayedAt_ != TimePoint() && now > decayedAt_) {
        const double factor = std::exp(-toMs(now - decayedAt_) / toMs(window));
        for (auto &[known, level] : levels_)
            level.count *= factor;
        std::erase_if(levels_, [](const auto &entry) { return entry.second.count < minCount; });
    }
    decayedAt_ = now;
    Level &own = levels_[priority];
    own.count += 1;
    double total = 0;
    double moreUrgent = 0;
    double lessUrgent = 0;
    for (const auto &[known, level] : levels_) {
        total += level.count;
        moreUrgent += known < priority ? level.count : 0;
        lessUrgent += priority < known ? level.count : 0;
    }
    const double urgency = (lessUrgent - moreUrgent) / total;
    if (urgency >= 0)
        return urgency;
    if (++own.passedOver < starvationInterval)
        return urgency;
    own.passedOver = 0;
    return 1;
}

} // namespace lovagecourse
