#pragma once

#include "direct/DirectExchange.h"
#include "direct/DirectRouter.h"

#include <optional>
#include <random>
#include <string_view>
#include <unordered_map>

namespace lovagecourse {

constexpr int firstErrorStatus = 400;
constexpr int firstServerErrorStatus = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;
// A host in the same region accepts within milliseconds; this covers one retransmission.
constexpr milliseconds connectTimeout{300};
// Retry-After when no wait can be predicted; servers register again within one or two seconds.
constexpr milliseconds defaultRetryAfter{300};

/// Implementation of DirectRouter. DirectRouter.cpp accepts requests and sends them to servers,
/// DirectRouterAnswers.cpp handles answers, failures and timeouts, DirectRouterEnds.cpp decides
/// whether an answer is whole, DirectRouterTraits.cpp finds and rejects requests that crash
/// servers.
struct DirectRouter::Impl
{
    explicit Impl(DirectContext routerContext)
        : context(std::move(routerContext))
        , random(std::random_device{}())
    {}

    TimePoint now() const { return context.clock.now(); }
    DirectExchange *find(CallerId caller);
    FleetRetryBudget &budget(const ServiceId &service);

    void receive(CallerRequest &&request);
    bool accept(DirectExchange &exchange);
    void dispatch(DirectExchange &exchange);
    PlacementRequest placementRequest(const DirectExchange &exchange) const;
    bool rejectsTraits(DirectExchange &exchange);
    double drawShare();
    milliseconds spreadRetryAfter(milliseconds pause);
    bool admit(DirectExchange &exchange, const Placement &placement);
    void send(DirectExchange &exchange, Placement placement);
    void armStallTimer(DirectExchange &exchange);
    bool tryTakeRetry(DirectExchange &exchange);

    bool onConnected(CallerId caller);
    void onHead(CallerId caller, const HttpHead &head);
    void onData(CallerId caller, std::string_view bytes);
    void onStreamData(DirectExchange &exchange, std::string_view bytes);
    void onAnswerWithoutEnd(DirectExchange &exchange, std::size_t bytes);
    void onDone(CallerId caller, const std::optional<HttpFailure> &failure);
    void onAnswerEnded(DirectExchange &exchange);
    void checkServer(DirectExchange &exchange);
    void onServerChecked(CallerId caller, bool acceptsConnections);
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
    void deliver(DirectExchange &exchange, const DirectAttempt &attempt);
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
    bool isDraining = false;
    /// Set while the process shuts down.
    std::optional<TimePoint> exitAt;
    std::mt19937_64 random;
};

} // namespace lovagecourse
