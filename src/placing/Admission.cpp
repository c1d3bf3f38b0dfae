#include "placing/Admission.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Part of the objective that the predicted first byte may take. One prediction in ten is short by
// half of its value, because other routers' last sends are not known yet.
constexpr double fairAllowance = 0.65;
// The same for an account at twice its fair share or more.
constexpr double greedyAllowance = 0.3;
// Prompts too long to be read in time are sent while the wait before them is below this part.
constexpr double longPromptAllowance = 0.4;
constexpr double shortestRetryMs = 50;
constexpr double longestRetryMs = 2000;

} // namespace

AdmissionVerdict decideAdmission(const AdmissionInput &input)
{
    const double excess = std::clamp(input.standing - 1, 0., 1.);
    const double allowance = fairAllowance - excess * (fairAllowance - greedyAllowance);
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
