#pragma once

#include "core/Clock.h"
#include "placing/UrgencyRanks.h"

#include <map>
#include <string>

namespace lovagecourse {

/// What the balance among kinds needs to know about a request.
struct KindRequest
{
    RequestPriority priority;
    /// Name of the route.
    std::string kind;
    /// Latency objective: time from arrival to the first byte, in ms.
    double objectiveMs = 0;
    double promptTokens = 0;
};

/// Balances the kinds of requests (routes) of one service. All kinds share the servers' queues, and
/// the wait that a request is admitted at is a part of its own objective. Under overload, kinds
/// with a longer objective would therefore keep the queues at a wait at which kinds with a shorter
/// one are refused.
///
/// Two kinds are compared if they have the same priority and the one with the shorter objective has
/// the clearly longer prompts: it is the kind that loses most. Short prompts with a short objective
/// are not raised against long ones: the shorter queues that they need admit long prompts that are
/// not cached in place of cached ones, so that fewer requests are served.
///
/// Counts the requests of this router alone. A router with few requests returns factors of 1.
class KindShares
{
public:
    /// Factor on the wait that the request is admitted at: above 1 if its kind is admitted less
    /// often than the compared kinds together, below 1 if it is admitted more often. Exactly 1 when
    /// nothing was refused recently, when there is no kind to compare with, and with too few
    /// requests to decide.
    double factor(const KindRequest &request, TimePoint now);
    /// The request was admitted or refused.
    void onDecision(const KindRequest &request, bool isAdmitted, TimePoint now);

    static constexpr double minFactor = 0.5;
    static constexpr double maxFactor = 1.2;

private:
    /// Recent requests, which decay with time.
    struct Counts
    {
        double requested = 0;
        double refused = 0;
        double promptTokens = 0;
        /// Objective of the latest request, in ms.
        double objectiveMs = 0;

        double meanPromptTokens() const { return promptTokens / requested; }
    };

    static bool areCompared(const Counts &left, const Counts &right);

    void decay(TimePoint now);

    std::map<RequestPriority, std::map<std::string, Counts>> kinds_;
    TimePoint decayedAt_;
};

} // namespace lovagecourse
