#pragma once

#include "entry/FirstByteTracker.h"
#include "entry/OfferBook.h"
#include "entry/RequestRouter.h"
#include "entry/WaitingRequests.h"
#include "routing/RetryBudget.h"
#include "scheduling/CostEstimator.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lovagecourse {

/// State of a router; its functions are in RequestRouter.cpp (offers, grants, time) and
/// RouterAnswers.cpp (answers, failures, retries).
struct RequestRouter::Impl
{
    using Wakeups = std::multimap<TimePoint, CallerId>;

    /// Extra attempts per request, and how many may be saved up.
    static constexpr double retryRatio = 0.1;
    static constexpr double hedgeRatio = 0.05;
    static constexpr double budgetReserve = 20;

    Impl(Daemon &owner, AgentLinks &agentLinks, AnswerSink answerSink)
        : daemon(owner)
        , links(agentLinks)
        , sink(std::move(answerSink))
        , wakeTimer(owner.loop(), [this] { onWake(); })
        , refillTimer(owner.loop(), [this] { refill(); })
    {}

    // Waiting and offers.
    void admit(std::unique_ptr<PendingRequest> request);
    void requeue(PendingRequest &request);
    void offerMore(PendingRequest &request);
    std::vector<ServerId> pickServers(const PendingRequest &request, std::size_t count);
    void sendOffer(PendingRequest &request, const ServerId &server);
    void withdrawOffers(PendingRequest &request);
    void scheduleRefill(const FlowId &flow);
    void refill();

    // Grants and attempts.
    void onGrant(const ServerId &server, const Grant &grant);
    void onOfferRefused(const OfferRefused &refused);
    bool isStillWanted(PendingRequest &request, const ServerId &server, GrantId grant,
                       bool offeredAsSuspect);
    void accept(PendingRequest &request, const ServerId &server, GrantId grant);
    void cancelAttempts(PendingRequest &request, const std::optional<AttemptId> &except);

    // Answers.
    void onHead(const ServerId &server, AnswerHead &&head);
    void onData(const ServerId &server, const AnswerData &data);
    void onEnd(const ServerId &server, const AnswerEnd &end);
    void onFirstByte(PendingRequest &request, const Attempt &attempt);
    void passOn(PendingRequest &request, const Attempt &attempt, const AnswerData &data);
    void complete(PendingRequest &request, const Attempt &attempt, Work cost);
    void onAttemptFailed(PendingRequest &request, const ServerId &server, const Refusal &refusal);
    bool mayTryAgain(PendingRequest &request, const Refusal &refusal);
    void refuse(PendingRequest &request, Refusal refusal);
    void remove(PendingRequest &request);

    // Time.
    void scheduleWake(PendingRequest &request);
    TimePoint nextWake(const PendingRequest &request) const;
    std::optional<TimePoint> hedgeTime(const PendingRequest &request) const;
    void onWake();
    void wake(PendingRequest &request);

    PendingRequest *findByGrant(const ServerId &server, GrantId grant);
    PendingRequest *find(CallerId caller);
    static Attempt &attemptOf(PendingRequest &request, const AttemptId &id);
    TimePoint now() const { return daemon.now(); }

    Daemon &daemon;
    AgentLinks &links;
    AnswerSink sink;
    std::unordered_map<CallerId, std::unique_ptr<PendingRequest>> requests;
    std::map<AttemptId, CallerId> grants;
    WaitingRequests waiting;
    OfferBook offers;
    CostEstimator estimator;
    FirstByteTracker firstBytes;
    RetryBudget retries{retryRatio, budgetReserve};
    RetryBudget hedges{hedgeRatio, budgetReserve};
    std::mt19937_64 random{std::random_device{}()};
    Wakeups wakeups;
    std::unordered_map<CallerId, Wakeups::iterator> wakeOf;
    std::set<FlowId> refillDue;
    Timer wakeTimer;
    Timer refillTimer;
};

} // namespace lovagecourse
