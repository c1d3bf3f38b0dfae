#include "placing/Admission.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Part of the objective that the predicted first byte may take for an account at its fair share.
// One prediction in ten is short by half of its value, because other routers' last sends are not
// known yet.
constexpr double fairAllowance = 0.65;
// The allowance falls with this power of the account's standing, so that an account at twice its
// share leaves the servers to the others well before those are refused.
constexpr double standingPower = 1.2;
// Range of the allowance. Below the lower end servers have time to spare, and nobody is refused.
constexpr double largestAllowance = 0.85;
constexpr double smallestAllowance = 0.12;
// Prompts too long to be read in time are sent while the wait before them is below this part.
constexpr double longPromptAllowance = 0.4;
constexpr double shortestRetryMs = 50;
constexpr double longestRetryMs = 2000;

} // namespace

AdmissionVerdict decideAdmission(const AdmissionInput &input)
{
    const double standing = std::max(input.standing, 1e-3);
    const double allowance = std::clamp(fairAllowance * std::pow(standing, -standingPower),
                                        smallestAllowance, largestAllowance);
    const double allowedFirstByteMs = allowance * input.objectiveMs;
    const double allowedWaitMs = longPromptAllowance * allowance * input.objectiveMs;
    const bool isInTime = input.firstByteMs <= allowedFirstByteMs;
    const bool isShortWait = input.waitMs <= allowedWaitMs && input.firstByteMs < input.leftMs;
    if (isInTime || isShortWait)
        return Admitted{};
    // The wait falls by one ms in each, as long as no more work is admitted.
    const double excessMs =
            std::min(input.firstByteMs - allowedFirstByteMs, input.waitMs - allowedWaitMs);
    const double retryMs = std::clamp(excessMs, shortestRetryMs, longestRetryMs);
    return RefusedForNow{milliseconds(static_cast<std::int64_t>(retryMs))};
}

} // namespace lovagecourse
