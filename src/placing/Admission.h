#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <variant>

namespace lovagecourse {

/// What decides whether a request is sent now.
struct AdmissionInput
{
    /// Wait at the best server before the request's own prompt is read, in ms.
    double waitMs = 0;
    /// Mean wait at all servers of the service, in ms.
    double meanWaitMs = 0;
    /// Time to the first byte at the best server, in ms.
    double firstByteMs = 0;
    /// Time from arrival to the first byte that the caller expects, in ms.
    double objectiveMs = 0;
    /// Time that is left until the caller or the route gives up, in ms.
    double leftMs = 0;
    /// Service of the account in the last seconds divided by its fair share; 1 is the share.
    double standing = 0;
};

struct Admitted
{};

/// The request is refused now, and would be admitted after the time given.
struct RefusedForNow
{
    milliseconds retryAfter{0};
};

using AdmissionVerdict = std::variant<Admitted, RefusedForNow>;

/// Turns requests away while servers still answer in time. Answers the pattern of a load above
/// what the engines can read: without it every answer comes late; with it the waits stay below the
/// objective and accounts above their fair share are refused first. No request is refused while
/// the wait is short, whatever its account had.
AdmissionVerdict decideAdmission(const AdmissionInput &input);

} // namespace lovagecourse
