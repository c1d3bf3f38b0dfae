#include "placing/Admission.h"

#include "placing/KindShares.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Part of the objective that the predicted time to first byte may take for an account at or above
// its fair share. One prediction in ten is too low by half of its value, because other routers'
// latest requests are not reported yet.
constexpr double firstByteAllowance = 0.7;
// The same for an account at half of its share or less; linear between. On one measured day, 59
// of 60 rejected requests of an account at 0.16 of its share were predicted to exceed 0.7 of the
// objective, but only 18 to exceed the objective.
constexpr double lowShareFirstByteAllowance = 1;
constexpr double lowShareRatio = 0.5;
// Part of the objective that the wait may take for an account at its fair share. It is divided by
// a power of the fair-share ratio, so that accounts above their share get only capacity that would
// otherwise be idle, no matter how many requests they send.
constexpr double fairWaitAllowance = 0.5;
constexpr double fairShareExponent = 2.5;
constexpr double maxWaitAllowance = 0.6;
// Part by which the most urgent requests may wait longer and the least urgent ones shorter. Less
// than the effect of the fair share, which is counted first.
constexpr double urgencyWeight = 0.3;
// Part by which the wait of accounts at or above their share is reduced at most.
constexpr double deprivationWeight = 0.7;
// Deprivation from which it is reduced by all of that. In the replay of 28 engines, one of six runs
// broke the fairness rule with 1, none with 0.5, and as many tokens were served.
constexpr double fullDeprivation = 0.5;
// Accounts below this ratio keep their wait; linear up to a ratio of 1.
constexpr double minReducedShareRatio = 0.8;
// Lower bound: with a shorter wait the server is almost idle, so no request is refused for its
// account's share.
constexpr double minWaitAllowance = 0.04;
// The server with the shortest predicted wait is often one whose latest requests are not reported
// yet, so the wait that counts is at least this part of the mean wait of the service.
constexpr double meanWaitWeight = 0.5;
// Prompts whose prefill alone takes too long for the objective are admitted while the wait before
// them is below this part of the objective.
constexpr double longPromptAllowance = 0.26;
constexpr double minRetryAfterMs = 50;
constexpr double maxRetryAfterMs = 2000;
// Clients wait up to a third of the time that they have left. The rest is for the way to the client
// and for the slack that the router adds to the client's timeout.
constexpr double maxPartOfRemaining = 0.3;

/// Factor for the balance among kinds, within the bounds of KindShares; 1 if it is no number.
double boundedKindFactor(double kindFactor)
{
    if (!std::isfinite(kindFactor))
        return 1;
    return std::clamp(kindFactor, KindShares::minFactor, KindShares::maxFactor);
}

/// Part of the objective added to the allowances of an account below its fair share.
double lowShareAllowance(double fairShareRatio, double objectiveMs)
{
    if (!std::isfinite(objectiveMs) || objectiveMs <= 0)
        return 0;
    const double part = std::clamp((1 - fairShareRatio) / (1 - lowShareRatio), 0., 1.);
    return part * (lowShareFirstByteAllowance - firstByteAllowance);
}

/// Factor on the wait at which the account is admitted while another one is deprived.
double deprivationFactor(double fairShareRatio, double deprivation)
{
    if (!std::isfinite(deprivation))
        return 1;
    const double part = std::clamp(
            (fairShareRatio - minReducedShareRatio) / (1 - minReducedShareRatio), 0., 1.);
    return 1 - deprivationWeight * std::clamp(deprivation / fullDeprivation, 0., 1.) * part;
}

} // namespace

std::string_view toString(AdmissionLimit limit)
{
    switch (limit) {
    case AdmissionLimit::FirstByte:
        return "first-byte";
    case AdmissionLimit::Wait:
        return "wait";
    case AdmissionLimit::Both:
        return "both";
    }
    return "unknown";
}

AdmissionDecision decideAdmission(const AdmissionInput &input)
{
    const double fairShareRatio =
            std::isfinite(input.fairShareRatio) ? std::max(input.fairShareRatio, 1e-3) : 1;
    const double urgencyFactor = 1 + urgencyWeight * std::clamp(input.urgency, -1., 1.);
    const double kindFactor = boundedKindFactor(input.kindFactor);
    const double addedAllowance = lowShareAllowance(fairShareRatio, input.objectiveMs);
    const double balanceFactor =
            urgencyFactor * kindFactor * deprivationFactor(fairShareRatio, input.deprivation);
    const double waitAllowance = std::clamp(
            fairWaitAllowance * std::pow(fairShareRatio, -fairShareExponent) * balanceFactor,
            minWaitAllowance, maxWaitAllowance + addedAllowance);
    const double allowedFirstByteMs = (firstByteAllowance + addedAllowance) * input.objectiveMs;
    const double allowedWaitMs = waitAllowance * input.objectiveMs;
    const double longPromptWaitMs =
            std::min(allowedWaitMs, longPromptAllowance * input.objectiveMs);
    const double countedWaitMs = std::max(input.waitMs, meanWaitWeight * input.meanWaitMs);
    const bool isFirstByteInTime = input.firstByteMs <= allowedFirstByteMs;
    const bool isWaitAllowed = countedWaitMs <= allowedWaitMs;
    const bool isInTime = isFirstByteInTime && isWaitAllowed;
    const bool isLongPrompt =
            countedWaitMs <= longPromptWaitMs && input.firstByteMs < input.remainingMs;
    if (isInTime || isLongPrompt)
        return Admitted{};
    // The wait falls by 1 ms per ms while no further request is admitted.
    const double excessMs = std::min(
            std::max(input.firstByteMs - allowedFirstByteMs, countedWaitMs - allowedWaitMs),
            countedWaitMs - longPromptWaitMs);
    // std::max and std::min return their first argument if the second is no number.
    const double longestMs = std::min(
            maxRetryAfterMs, std::max(minRetryAfterMs, input.remainingMs * maxPartOfRemaining));
    const double retryAfterMs = std::min(longestMs, std::max(minRetryAfterMs, excessMs));
    AdmissionLimit limit = AdmissionLimit::Both;
    if (isFirstByteInTime)
        limit = AdmissionLimit::Wait;
    else if (isWaitAllowed)
        limit = AdmissionLimit::FirstByte;
    return AdmissionRefused{milliseconds(static_cast<std::int64_t>(retryAfterMs)), limit};
}

} // namespace lovagecourse
