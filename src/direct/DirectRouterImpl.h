#pragma once

#include "direct/DirectExchange.h"
#include "direct/DirectRouter.h"
#include "placing/HedgeBudget.h"
#include "placing/HedgeDecision.h"
#include "placing/KindShares.h"
#include "placing/LatencyDistribution.h"
#include "placing/ReturnPromises.h"
#include "placing/UrgencyRanks.h"

#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>

namespace lovagecourse {

constexpr int firstErrorStatus = 400;
constexpr int statusRequestTimeout = 408;
constexpr int statusMisdirected = 421;
constexpr int statusTooManyRequests = 429;
constexpr int firstServerErrorStatus = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
// A host in the same region accepts within milliseconds; this covers one retransmission.
constexpr milliseconds connectTimeout{300};
// Retry-After when no wait can be predicted; servers register again within one or two seconds.
constexpr milliseconds defaultRetryAfter{300};

/// Returns whether the request may be sent again once a server may have started it.
bool isRetryable(RequestKind kind);
/// The service that was drawn for the exchange, then the others to which its route sends.
std::vector<ServiceId> servicesOf(const DirectExchange &exchange);

/// Returns whether the status promises that the request has not run and never will.
bool promisesNotRun(int status);

/// Hedges of one service and what they are decided from.
struct ServiceHedges
{
    HedgeBudget budget;
    /// By the route's name.
    std::unordered_map<std::string, LatencyDistribution> latencies;
    /// When a request was last rejected because of the load.
    std::optional<TimePoint> rejectedAt;
};

/// Implementation of DirectRouter. DirectRouter.cpp accepts requests and sends them to servers,
/// DirectRouterAnswers.cpp handles answers, failures and timeouts, DirectRouterEnds.cpp decides
/// whether an answer is whole, DirectRouterTraits.cpp finds and rejects requests that crash
/// servers, DirectRouterHedges.cpp sends a second attempt when the first is late.
struct DirectRouter::Impl
{
    explicit Impl(DirectContext routerContext)
        : context(std::move(routerContext))
        , random(std::random_device{}())
    {}

    TimePoint now() const { return context.clock.now(); }
    DirectExchange *find(CallerId caller);
    DirectExchange *find(CallerId caller, AttemptKey key);
    FleetRetryBudget &budget(const ServiceId &service);

    void receive(CallerRequest &&request);
    bool accept(DirectExchange &exchange);
    void dispatchTakeUp(DirectExchange &exchange);
    void dispatch(DirectExchange &exchange);
    PlacementRequest placementRequest(const DirectExchange &exchange) const;
    bool rejectsTraits(DirectExchange &exchange);
    double drawShare();
    milliseconds spreadRetryAfter(milliseconds pause);
    bool admit(DirectExchange &exchange, Placement &placement);
    bool placeAgain(DirectExchange &exchange, Placement &placement);
    void send(DirectExchange &exchange, Placement placement);
    void armStallTimer(DirectExchange &exchange);
    bool tryTakeRetry(DirectExchange &exchange);

    void setHedgeShare(double share);
    ServiceHedges &hedgesOf(const ServiceId &service);
    void armHedgeTimer(DirectExchange &exchange, double minDelayMs = 5);
    void onHedgeTimer(CallerId caller, AttemptKey key);
    HedgeTiming hedgeTiming(const DirectExchange &exchange);
    HedgeInput hedgeInput(const DirectExchange &exchange, const std::optional<Placement> &second);
    HedgeVerdict takeHedge(const DirectExchange &exchange, const HedgeInput &input);
    bool hasSuspectTrait(const DirectExchange &exchange) const;
    void sendHedge(DirectExchange &exchange, Placement placement);
    void observeLatency(const DirectExchange &exchange, const DirectAttempt &attempt);
    void onServiceRejected(const ServiceId &service);
    void onAnswerWins(DirectExchange &exchange);
    bool continueWithRival(DirectExchange &exchange);
    bool endsRequest(const DirectExchange &exchange) const;
    void onErrorWithRival(DirectExchange &exchange);
    void endHedge(DirectExchange &exchange, std::string_view outcome, double savedMs);
    void cancelRival(DirectExchange &exchange);
    void cancelAttempts(DirectExchange &exchange);

    bool onConnected(CallerId caller, AttemptKey key);
    void onHead(CallerId caller, AttemptKey key, const HttpHead &head);
    void onData(CallerId caller, AttemptKey key, std::string_view bytes);
    void onStreamData(DirectExchange &exchange, std::string_view bytes);
    void onAnswerWithoutEnd(DirectExchange &exchange, std::size_t bytes);
    void onDone(CallerId caller, AttemptKey key, const std::optional<HttpFailure> &failure);
    void onAnswerEnded(DirectExchange &exchange);
    void checkServer(DirectExchange &exchange);
    void onServerChecked(CallerId caller, AttemptKey key, bool acceptsConnections);
    void judgeCheckedServer(CallerId caller, AttemptKey key, bool acceptsConnections);
    void noteSignOfServer(DirectAttempt &attempt) const;
    void onBrokenBeforeAnswer(const DirectExchange &exchange);
    void onServerAnswers(const DirectAttempt &attempt);
    void onAnswerBegun(const DirectExchange &exchange);
    void onNotSent(DirectExchange &exchange);
    void onNotExecuted(DirectExchange &exchange);
    void rejectAnswer(DirectExchange &exchange, std::string_view reason);
    void onAnswerRejected(DirectExchange &exchange, std::string_view reason);
    void onAttemptFailed(DirectExchange &exchange, std::string_view reason);
    void onAnswerComplete(DirectExchange &exchange);
    void onDeadline(CallerId caller);
    void onStalled(CallerId caller);

    void forward(DirectExchange &exchange, std::string_view bytes);
    void onStreamBegun(DirectExchange &exchange);
    bool reserveAnswer(DirectExchange &exchange, std::size_t bytes);
    DirectExchange *largestAnswer();
    std::size_t maxUnconsumedBytes() const;
    void deliver(DirectExchange &exchange, DirectAttempt &attempt);
    void endAttempt(DirectExchange &exchange);
    void cancelAttempt(DirectExchange &exchange);
    void refuse(DirectExchange &exchange, std::string_view reason, milliseconds retryAfter);
    void fail(DirectExchange &exchange, int status, std::string_view reason);
    void reject(CallerId caller, int status, RefusalReason reason);
    void finish(DirectExchange &exchange, std::string_view outcome, int status,
                std::string_view reason);

    DirectContext context;
    HttpGateway *gateway = nullptr;
    std::shared_ptr<const DirectConfiguration> configuration;
    std::unordered_map<CallerId, std::unique_ptr<DirectExchange>> exchanges;
    std::unordered_map<ServiceId, FleetRetryBudget> budgets;
    /// Part of the requests that may be hedged; 0 when hedged requests are off.
    double hedgeShare = 0;
    std::unordered_map<ServiceId, ServiceHedges> hedges;
    std::unordered_map<ServerRunHash, ServerLateness> lateness;
    std::unordered_map<ServiceId, UrgencyRanks> urgencyRanks;
    std::unordered_map<ServiceId, KindShares> kindShares;
    std::unordered_map<ServiceId, ReturnPromises> returns;
    bool isDraining = false;
    /// Set while the process shuts down.
    std::optional<TimePoint> exitAt;
    std::mt19937_64 random;
};

} // namespace lovagecourse
