#include "placing/Admission.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Part of the objective that the predicted first byte may take. One prediction in ten is short by
// half of its value, because other routers' last sends are not known yet.
constexpr double firstByteAllowance = 0.7;
// Part of the objective that the wait may take for an account at its fair share. It falls with a
// power of the standing, so that accounts above their share only get what would else be idle time,
// however often they ask.
constexpr double fairWaitAllowance = 0.5;
constexpr double standingPower = 2.5;
constexpr double largestWaitAllowance = 0.6;
// A server with less work than this is about to be idle, and nobody is refused.
constexpr double smallestWaitAllowance = 0.04;
// The best of many servers is often one whose last work is not known yet, so a busy service counts
// as busy, whatever its best server seems to be.
constexpr double meanWaitWeight = 0.5;
// Prompts too long to be read in time are sent while the wait before them is below this part.
constexpr double longPromptAllowance = 0.26;
constexpr double shortestRetryMs = 50;
constexpr double longestRetryMs = 2000;

} // namespace

AdmissionVerdict decideAdmission(const AdmissionInput &input)
{
    const double standing = std::max(input.standing, 1e-3);
    const double waitShare = std::clamp(fairWaitAllowance * std::pow(standing, -standingPower),
                                        smallestWaitAllowance, largestWaitAllowance);
    const double allowedFirstByteMs = firstByteAllowance * input.objectiveMs;
    const double allowedWaitMs = waitShare * input.objectiveMs;
    const double longPromptWaitMs =
            std::min(allowedWaitMs, longPromptAllowance * input.objectiveMs);
    const double countedWaitMs = std::max(input.waitMs, meanWaitWeight * input.meanWaitMs);
    const bool isInTime = input.firstByteMs <= allowedFirstByteMs && countedWaitMs <= allowedWaitMs;
    const bool isLongPrompt = countedWaitMs <= longPromptWaitMs && input.firstByteMs < input.leftMs;
    if (isInTime || isLongPrompt)
        return Admitted{};
    // The wait falls by one ms in each, as long as no more work is admitted.
    const double excessMs = std::min(
            std::max(input.firstByteMs - allowedFirstByteMs, countedWaitMs - allowedWaitMs),
            countedWaitMs - longPromptWaitMs);
    const double retryMs = std::clamp(excessMs, shortestRetryMs, longestRetryMs);
    return RefusedForNow{milliseconds(static_cast<std::int64_t>(retryMs))};
}

} // namespace lovagecourse
