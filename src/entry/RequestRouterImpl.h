#pragma once

#include "entry/FirstByteTracker.h"
#include "entry/OfferTable.h"
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

/// State of a request router, implemented in RequestRouter.cpp (offers, grants, timers) and
/// RouterAnswers.cpp (answers, failures, retries).
struct RequestRouter::Impl
{
    using Wakeups = std::multimap<TimePoint, CallerId>;

    /// Retries and hedges per request.
    static constexpr double retryRatio = 0.1;
    static constexpr double hedgeRatio = 0.05;
    /// Unused retries or hedges that may be saved up.
    static constexpr double maxSavedAttempts = 20;

    Impl(Daemon &owner, AgentLinks &agentLinks, AnswerSink answerSink)
        : daemon(owner)
        , links(agentLinks)
        , sink(std::move(answerSink))
        , wakeTimer(owner.loop(), [this] { onWake(); })
        , offerTimer(owner.loop(), [this] { sendScheduledOffers(); })
    {}

    // Waiting requests and offers.
    void admit(std::unique_ptr<PendingRequest> request);
    /// Puts a request back to the front of its queue after a failed attempt.
    void requeue(PendingRequest &request);
    /// Offers the request to further servers, up to the number that its waiting time allows.
    void offerMore(PendingRequest &request);
    std::vector<ServerId> pickServers(const PendingRequest &request, std::size_t count);
    void sendOffer(PendingRequest &request, const ServerId &server);
    void withdrawOffers(PendingRequest &request);
    /// Schedules further offers for the flow's waiting requests for the next loop iteration.
    void scheduleOffers(const FlowId &flow);
    void sendScheduledOffers();

    // Grants and attempts.
    void onGrant(const ServerId &server, const Grant &grant);
    void onOfferRefused(const OfferRefused &refused);
    /// Declines the grant and returns false when the request became a crash suspect after it was
    /// offered: it must then run alone, which needs a new offer, or not at all.
    bool mayAcceptGrant(PendingRequest &request, const ServerId &server, GrantId grant,
                        bool offeredAsSuspect);
    void accept(PendingRequest &request, const ServerId &server, GrantId grant);
    /// Declines the grant and returns false when there is no memory for the copy of the request
    /// that its agent gets.
    bool hasMemoryFor(PendingRequest &request, const ServerId &server, GrantId grant);
    std::uint32_t answerCredit(const PendingRequest &request) const;
    void cancelAttempts(PendingRequest &request, const std::optional<AttemptId> &except);

    // Answers.
    void onHead(const ServerId &server, AnswerHead &&head);
    void onData(const ServerId &server, const AnswerData &data);
    void onEnd(const ServerId &server, const AnswerEnd &end);
    void onFirstByte(PendingRequest &request, const RequestAttempt &attempt);
    /// Returns false if the part of the answer must be forwarded instead.
    bool bufferData(PendingRequest &request, const AnswerData &data);
    /// Forwards or buffers a part of the answer; refuses the request when the part does not
    /// continue what was forwarded.
    void forwardData(PendingRequest &request, const RequestAttempt &attempt,
                     const AnswerData &data);
    void complete(PendingRequest &request, const RequestAttempt &attempt, Work cost);
    void onAttemptFailed(PendingRequest &request, const ServerId &server, const Refusal &refusal);
    bool mayRetry(PendingRequest &request, const Refusal &refusal);
    void refuse(PendingRequest &request, Refusal refusal);
    void remove(PendingRequest &request);

    // Timers: deadline, widening of offers, hedging.
    void scheduleWake(PendingRequest &request);
    TimePoint nextWake(const PendingRequest &request) const;
    std::optional<TimePoint> hedgeTime(const PendingRequest &request) const;
    void onWake();
    void wake(PendingRequest &request);

    PendingRequest *findByGrant(const ServerId &server, GrantId grant);
    PendingRequest *find(CallerId caller);
    static RequestAttempt &findAttempt(PendingRequest &request, const AttemptId &id);
    TimePoint now() const { return daemon.now(); }

    Daemon &daemon;
    AgentLinks &links;
    AnswerSink sink;
    std::unordered_map<CallerId, std::unique_ptr<PendingRequest>> requests;
    std::map<AttemptId, CallerId> grants;
    WaitingRequests waiting;
    OfferTable offers;
    CostEstimator estimator;
    FirstByteTracker firstByteTimes;
    RetryBudget retryBudget{retryRatio, maxSavedAttempts};
    RetryBudget hedgeBudget{hedgeRatio, maxSavedAttempts};
    std::mt19937_64 random{std::random_device{}()};
    Wakeups wakeups;
    std::unordered_map<CallerId, Wakeups::iterator> wakeupByCaller;
    std::set<FlowId> flowsToOffer;
    Timer wakeTimer;
    Timer offerTimer;
};

} // namespace lovagecourse
