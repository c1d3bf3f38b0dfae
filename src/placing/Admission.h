#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace lovagecourse {

/// Predictions and limits from which decideAdmission() decides about one request.
struct AdmissionInput
{
    /// Predicted wait at the best server before the prefill of this request starts, in ms.
    double waitMs = 0;
    /// Mean predicted wait over all servers of the service, in ms.
    double meanWaitMs = 0;
    /// Predicted time to first byte at the best server, in ms.
    double firstByteMs = 0;
    /// Latency objective: time from arrival to the first byte, in ms.
    double objectiveMs = 0;
    /// Time until the caller's or the route's timeout, in ms.
    double remainingMs = 0;
    /// Tokens admitted for the account divided by its fair share; 0 for an unknown account. From
    /// FairShares::fairShareRatio().
    double fairShareRatio = 0;
    /// Rank among the service's requests by priority, from -1 (least urgent) to 1; 0 if all are
    /// equal. From UrgencyRanks.
    double urgency = 0;
    /// Factor on the allowed wait that balances the kinds of the service's requests; 1 if they are
    /// balanced. From KindShares.
    double kindFactor = 1;
    /// What the most deprived account lacks, from 0 to 1. From FairShares::deprivation().
    double deprivation = 0;
};

struct Admitted
{};

/// Which limit a refused request exceeds.
enum class AdmissionLimit : std::uint8_t {
    /// The predicted time to first byte is too long for the objective.
    FirstByte,
    /// The wait is too long for the account's share, urgency and kind.
    Wait,
    Both,
};

std::string_view toString(AdmissionLimit limit);

/// The request is refused. While no further request is admitted, the queue needs this time to drain
/// to the wait that is allowed. The client is told this time, which is the same instant for all
/// that are refused during one drain: see docs/design/returning-clients.md for why it is not
/// spread.
struct AdmissionRefused
{
    milliseconds retryAfter{0};
    AdmissionLimit limit = AdmissionLimit::FirstByte;
};

using AdmissionDecision = std::variant<Admitted, AdmissionRefused>;

/// Admission control. Under a load above the servers' prefill capacity it refuses requests,
/// accounts above their fair share first, so that admitted ones meet the objective; otherwise every
/// answer would be late. While the wait is short, no request is refused for its account's share.
///
/// Order under shortage: the account's fair share, then urgency, then the balance among kinds of
/// requests, then the value of the time left. Urgency decides between accounts whose shares differ
/// by less than about 28 %; a request whose answer would be late is refused whatever its urgency or
/// kind.
///
/// An account below its share may use a larger part of the objective, up to all of it: otherwise
/// the margin for errors of the prediction refuses its long prompts while others keep the queues
/// full. While an account is deprived, accounts at and above their share are admitted at a shorter
/// wait.
AdmissionDecision decideAdmission(const AdmissionInput &input);

} // namespace lovagecourse
