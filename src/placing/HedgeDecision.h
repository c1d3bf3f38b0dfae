#pragma once

#include "placing/LatencyDistribution.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lovagecourse {

/// Why a second attempt is or is not sent while the first has not been answered.
enum class HedgeVerdict : std::uint8_t {
    Send,
    /// The first attempt is not late yet.
    TooEarly,
    /// Running the request more than once is not harmless.
    NotRepeatable,
    /// The request may not be sent to a further server.
    MaxAttempts,
    /// The second answer would come after the deadline.
    NearDeadline,
    /// The service has rejected requests a short time ago.
    Rejecting,
    /// The servers of the service are loaded.
    LongWait,
    /// The request has something in common with others that crashed servers.
    SuspectTrait,
    /// This process is late itself, so the answer may have arrived unread.
    RouterBusy,
    /// No other server may get the request.
    NoServer,
    /// The other server fails requests or could not be reached.
    ServerFailing,
    /// The other server is not expected to answer first.
    NoGain,
    /// The hedge share is used up.
    NoHedgeBudget,
    /// The retry budget is used up.
    NoRetryBudget
};

std::string_view toString(HedgeVerdict verdict);

/// Prediction for the first attempt, and how late its kind of request is usually answered.
struct HedgeTiming
{
    /// Predicted time to first byte of the first attempt, in ms.
    double predictedMs = 0;
    /// Answers observed of this kind of request.
    double sampleCount = 0;
    /// Ratios of measured to predicted time that half and nearly all of the answers stay below.
    double medianRatio = 0;
    double lateRatio = 0;
    /// The last answers of the first attempt's server were several times later than predicted.
    bool isServerSlow = false;
};

/// Part of the answers that HedgeTiming::lateRatio stands for.
constexpr double lateQuantile = 0.95;

/// Reads the ratios from the distribution.
HedgeTiming makeHedgeTiming(double predictedMs, const LatencyDistribution &observed,
                            bool isServerSlow);

/// Time from the send after which the first attempt counts as late, in ms.
double hedgeDelayMs(const HedgeTiming &timing);

/// Best server for the second attempt.
struct HedgeServer
{
    double firstByteMs = 0;
    double failureRate = 0;
    bool isInBackoff = false;
};

/// Input of decideHedge().
struct HedgeInput
{
    HedgeTiming timing;
    /// Time since the first attempt was sent, in ms.
    double elapsedMs = 0;
    /// Time until the deadline, in ms.
    double remainingMs = 0;
    /// Running the request more than once is harmless, and none of its answer was forwarded.
    bool isRepeatable = false;
    unsigned sendCount = 0;
    unsigned maxServers = 1;
    bool hasSuspectTrait = false;
    double loopDelayMs = 0;
    /// Time since the service rejected a request; empty if it has not.
    std::optional<double> rejectedAgoMs;
    /// Mean predicted wait over the servers of the service, and the latency objective, in ms.
    double meanWaitMs = 0;
    double objectiveMs = 0;
    std::optional<HedgeServer> server;
    bool hasBudget = false;
};

/// Decides whether a hedge is sent for a request whose first attempt is late. It is for single
/// slow servers, stalled processes and lost packets under a moderate load. Under a load that makes
/// all servers slow a second attempt would only add to it, so none is sent. The retry budget is
/// asked last, by the caller, because asking takes from it.
HedgeVerdict decideHedge(const HedgeInput &input);

} // namespace lovagecourse
