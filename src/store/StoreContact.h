#pragma once

#include "core/Clock.h"

#include <optional>

namespace lovagecourse {

/// When the store has answered, this router or others that tell it. A time in which it has answered
/// nobody may have been an outage.
class StoreContact
{
public:
    /// The store has answered at this time or later.
    void onAnswer(TimePoint at);
    /// Returns the longest time without an answer since the last call.
    std::chrono::nanoseconds takeLongestSilence();

private:
    std::optional<TimePoint> last_;
    std::chrono::nanoseconds longestSilence_{0};
};

/// Returns whether registrations may have expired because servers could not renew them in this
/// time. A server renews every renewalInterval; its registration expires after three of them.
bool mayHaveExpired(std::chrono::nanoseconds silence, milliseconds renewalInterval);

} // namespace lovagecourse
