#include "entry/RequestRouter.h"

#include "core/Log.h"
#include "entry/RequestRouterImpl.h"
#include "routing/PushChoice.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace lovagecourse {

namespace {

// A request is first offered to this many servers, and to all once it has waited for the interval.
constexpr std::size_t initialOffers = 2;
constexpr milliseconds offerWidenInterval{50};
// Prevents the requests of a single account from filling the agents' queues.
constexpr std::size_t maxOffersPerAccountAndServer = 4;
// Waiting requests of a flow that are considered when it may send further offers.
constexpr std::size_t maxRequestsPerOfferRound = 24;
// Bytes of one answer that may be in transit between its server and its caller.
constexpr std::uint32_t answerCreditBytes = 256U << 10;
// The agent decides on a claimed request at its deadline; the entry waits this much longer for it.
constexpr milliseconds claimDecisionGrace{2000};
constexpr milliseconds timerGranularity{5};
} // namespace

void RequestRouter::Impl::admit(std::unique_ptr<PendingRequest> owned)
{
    PendingRequest &request = *owned;
    const RequestDetails &details = request.details;
    const CallerId caller = request.caller;
    requests.emplace(caller, std::move(owned));
    retryBudget.onRequest();
    hedgeBudget.onRequest();

    const SuspectDecision decision = daemon.suspects().decision(details.fingerprint, now());
    if (decision == SuspectDecision::Refuse)
        return refuse(request, Refusal{RefusalReason::CrashSuspect, Ran::No});
    if (!links.isServed(details.service.name, details.model))
        return refuse(request, Refusal{RefusalReason::NoServer, Ran::No});
    if (waiting.count(details.flow) >= details.service.queueLimit)
        return refuse(request, Refusal{RefusalReason::AccountQueueFull, Ran::No});
    request.estimate = estimator.estimate(details.flow, details.service, details.costHint);
    waiting.add(details.flow, request.estimate.costClass, caller, false);
    offerMore(request);
    scheduleWake(request);
}

void RequestRouter::Impl::requeue(PendingRequest &request)
{
    request.waiting = true;
    request.hedging = false;
    request.winner.reset();
    if (!request.streamBegun) {
        std::string().swap(request.bufferedBody);
        request.bufferedMemory.release();
    }
    waiting.add(request.details.flow, request.estimate.costClass, request.caller, true);
    offerMore(request);
    scheduleWake(request);
}

std::vector<ServerId> RequestRouter::Impl::pickServers(const PendingRequest &request,
                                                       std::size_t count)
{
    const RequestDetails &details = request.details;
    std::vector<Candidate> candidates = links.candidates(details.service.name, details.model);
    const bool isPush = daemon.settings().routing != RoutingPolicy::Offers;
    for (Candidate &candidate : candidates) {
        const std::size_t outstanding = offers.count(details.flow.account, candidate.server);
        const bool isFull = !isPush && outstanding >= maxOffersPerAccountAndServer;
        candidate.usable = candidate.usable && !isFull;
        candidate.alreadyOffered = request.offers.contains(candidate.server);
        for (const RequestAttempt &attempt : request.attempts)
            candidate.alreadyOffered =
                    candidate.alreadyOffered || attempt.server == candidate.server;
    }
    const bool hasUntriedServer =
            std::any_of(candidates.begin(), candidates.end(), [&](const auto &item) {
                return item.usable && !item.alreadyOffered
                       && !request.failedServers.contains(item.server);
            });
    if (hasUntriedServer)
        std::erase_if(candidates, [&](const Candidate &candidate) {
            return request.failedServers.contains(candidate.server);
        });
    if (isPush)
        return choosePushTarget(candidates, daemon.settings().routing, random);
    return chooseCandidates(candidates, daemon.settings().dataCentre, details.prefixHash, count,
                            random);
}

void RequestRouter::Impl::offerMore(PendingRequest &request)
{
    const bool isPush = daemon.settings().routing != RoutingPolicy::Offers;
    if (isPush && !request.offers.empty())
        return;
    const bool waitedLong = now() - request.arrived >= offerWidenInterval;
    const std::size_t wanted = waitedLong ? links.serverCount() : initialOffers;
    if (request.offers.size() >= wanted)
        return;
    for (const ServerId &server : pickServers(request, wanted - request.offers.size()))
        sendOffer(request, server);
}

void RequestRouter::Impl::sendOffer(PendingRequest &request, const ServerId &server)
{
    const RequestDetails &details = request.details;
    Offer offer;
    offer.suspect =
            daemon.suspects().decision(details.fingerprint, now()) == SuspectDecision::RunAlone;
    offer.offer = offers.add({request.caller, server, details.flow.account, offer.suspect});
    offer.flow = details.flow;
    offer.model = details.model;
    offer.expected = request.estimate.expected;
    offer.costClass = request.estimate.costClass;
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - now());
    const auto waited = std::chrono::duration_cast<milliseconds>(now() - request.arrived);
    offer.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
    offer.waitedMs = static_cast<std::uint32_t>(waited.count());
    offer.fingerprint = details.fingerprint;
    offer.repeatable = details.service.repeatable;
    request.offers.emplace(server, offer.offer);
    daemon.metrics().count("lovagecourse_offers_total");
    links.send(server, std::move(offer));
}

void RequestRouter::Impl::withdrawOffers(PendingRequest &request)
{
    for (const auto &[server, offer] : std::exchange(request.offers, {})) {
        offers.remove(offer);
        links.send(server, OfferWithdraw{offer});
    }
    scheduleOffers(request.details.flow);
}

void RequestRouter::Impl::scheduleOffers(const FlowId &flow)
{
    flowsToOffer.insert(flow);
    if (!offerTimer.isActive())
        offerTimer.startOnce(std::chrono::nanoseconds(0));
}

void RequestRouter::Impl::sendScheduledOffers()
{
    for (const FlowId &flow : std::exchange(flowsToOffer, {})) {
        for (const CallerId caller : waiting.first(flow, maxRequestsPerOfferRound))
            offerMore(*requests.at(caller));
    }
}

void RequestRouter::Impl::onGrant(const ServerId &server, const Grant &grant)
{
    const auto outstanding = offers.remove(grant.offer);
    if (!outstanding) {
        daemon.metrics().count("lovagecourse_grants_declined_total");
        links.send(server, GrantDecline{grant.grant});
        return;
    }
    PendingRequest &request = *requests.at(outstanding->caller);
    request.offers.erase(server);
    assert(request.waiting || request.hedging);
    if (!mayAcceptGrant(request, server, grant.grant, outstanding->suspect)
        || !hasMemoryFor(request, server, grant.grant))
        return;
    accept(request, server, grant.grant);
}

bool RequestRouter::Impl::mayAcceptGrant(PendingRequest &request, const ServerId &server,
                                         GrantId grant, bool offeredAsSuspect)
{
    const SuspectDecision decision = daemon.suspects().decision(request.details.fingerprint, now());
    const bool mayRunAlone = decision == SuspectDecision::RunAlone && offeredAsSuspect;
    if (decision == SuspectDecision::Clear || mayRunAlone)
        return true;
    daemon.metrics().count("lovagecourse_grants_declined_total");
    links.send(server, GrantDecline{grant});
    withdrawOffers(request);
    if (!request.waiting) // The first attempt of a hedged request continues.
        request.hedging = false;
    else if (decision == SuspectDecision::Refuse)
        refuse(request, Refusal{RefusalReason::CrashSuspect, request.ran});
    else
        offerMore(request);
    return false;
}

bool RequestRouter::Impl::hasMemoryFor(PendingRequest &request, const ServerId &server,
                                       GrantId grant)
{
    MemoryAccount *memory = daemon.memory();
    const std::size_t bytes = request.request.body.size();
    if (!memory || memory->fits(bytes, bytes))
        return true;
    sink.relieveMemory(bytes);
    if (memory->fits(bytes, bytes))
        return true;
    daemon.metrics().count("lovagecourse_grants_declined_total");
    logInfo(LogPart::Entry, "event=grant-declined reason=memory-short server=", server,
            " bytes=", bytes, " memory_used=", memory->used());
    links.send(server, GrantDecline{grant});
    withdrawOffers(request);
    if (request.waiting)
        refuse(request, Refusal{RefusalReason::MemoryShort, request.ran});
    else // The first attempt of a hedged request continues.
        request.hedging = false;
    return false;
}

/// Unconsumed bytes of an earlier attempt still occupy this entry's memory.
std::uint32_t RequestRouter::Impl::answerCredit(const PendingRequest &request) const
{
    const MemoryAccount *memory = daemon.memory();
    const std::uint32_t most =
            memory && memory->isUnderPressure() ? shortAnswerCreditBytes : answerCreditBytes;
    return most - std::min<std::uint32_t>(most, request.unconsumed);
}

void RequestRouter::Impl::accept(PendingRequest &request, const ServerId &server, GrantId grant)
{
    if (request.waiting)
        waiting.remove(request.details.flow, request.caller);
    request.waiting = false;
    request.hedging = false;
    withdrawOffers(request);

    RequestAttempt attempt;
    attempt.server = server;
    attempt.grant = grant;
    attempt.acceptedAt = now();
    request.attempts.push_back(attempt);
    grants[{server, grant}] = request.caller;

    GrantAccept message;
    message.grant = grant;
    message.method = request.request.method;
    message.path = request.request.path + request.request.query;
    for (const auto &[name, value] : request.request.headers) {
        const bool isNotForwarded = name == "authorization" || name == "idempotency-key"
                                    || name == "host" || name == "connection"
                                    || name == "content-length" || name == "expect"
                                    || name == "transfer-encoding" || name == "x-resume-from";
        if (!isNotForwarded)
            message.headers.emplace_back(name, value);
    }
    message.body = request.request.body.str();
    message.idempotencyKey = request.details.idempotencyKey;
    message.resumeFromEvent = request.deliveredEvents;
    const auto left = std::chrono::duration_cast<milliseconds>(request.deadline - now());
    message.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
    message.credit = answerCredit(request);
    links.send(server, std::move(message));
    daemon.metrics().latency("lovagecourse_wait_seconds", now() - request.arrived);
    scheduleWake(request);
}

void RequestRouter::Impl::onOfferRefused(const OfferRefused &refused)
{
    const auto outstanding = offers.remove(refused.offer);
    if (!outstanding)
        return;
    daemon.metrics().count("lovagecourse_offers_refused_total", toString(refused.reason));
    PendingRequest &request = *requests.at(outstanding->caller);
    request.offers.erase(outstanding->server);
    if (refused.reason == RefusalReason::CrashSuspect && request.attempts.empty())
        refuse(request, Refusal{RefusalReason::CrashSuspect, request.ran});
}

std::optional<TimePoint> RequestRouter::Impl::hedgeTime(const PendingRequest &request) const
{
    const bool mayHedge = daemon.settings().hedging && request.details.service.repeatable
                          && !request.hedged && !request.winner && request.attempts.size() == 1;
    if (!mayHedge)
        return std::nullopt;
    const auto threshold = firstByteTimes.lateThreshold(request.details.service.name);
    if (!threshold)
        return std::nullopt;
    return request.attempts.front().acceptedAt + *threshold;
}

TimePoint RequestRouter::Impl::nextWake(const PendingRequest &request) const
{
    const bool isClaimed = !request.waiting && !request.details.idempotencyKey.value.empty();
    TimePoint next = request.deadline + (isClaimed ? claimDecisionGrace : milliseconds(0));
    if (request.waiting || request.hedging)
        next = std::min(next, now() + offerWidenInterval);
    if (const auto hedge = hedgeTime(request))
        next = std::min(next, *hedge);
    return next;
}

void RequestRouter::Impl::scheduleWake(PendingRequest &request)
{
    const auto existing = wakeupByCaller.find(request.caller);
    if (existing != wakeupByCaller.end())
        wakeups.erase(existing->second);
    wakeupByCaller[request.caller] = wakeups.emplace(nextWake(request), request.caller);
    if (!wakeTimer.isActive())
        wakeTimer.startOnce(timerGranularity);
}

void RequestRouter::Impl::onWake()
{
    const TimePoint current = now();
    std::vector<CallerId> due;
    for (auto item = wakeups.begin(); item != wakeups.end() && item->first <= current; ++item)
        due.push_back(item->second);
    for (const CallerId caller : due) {
        if (PendingRequest *request = find(caller))
            wake(*request);
    }
    if (!wakeups.empty() && !wakeTimer.isActive())
        wakeTimer.startOnce(timerGranularity);
}

void RequestRouter::Impl::wake(PendingRequest &request)
{
    const bool isClaimed = !request.waiting && !request.details.idempotencyKey.value.empty();
    const TimePoint limit = request.deadline + (isClaimed ? claimDecisionGrace : milliseconds(0));
    if (now() >= limit) {
        // Ran::No is certain only while the request waits and no failed attempt may have run.
        const Ran ran = request.waiting && request.ran == Ran::No ? Ran::No : Ran::Unknown;
        return refuse(request, Refusal{RefusalReason::DeadlineExpired, ran});
    }
    const auto hedge = hedgeTime(request);
    if (hedge && now() >= *hedge) {
        request.hedged = true;
        // A crash suspect must run alone, so it is not hedged.
        const SuspectDecision decision =
                daemon.suspects().decision(request.details.fingerprint, now());
        request.hedging = decision == SuspectDecision::Clear && hedgeBudget.tryTake();
        daemon.metrics().count("lovagecourse_hedges_total",
                               request.hedging ? "late-first-byte" : "budget");
    }
    if (request.waiting || request.hedging)
        offerMore(request);
    scheduleWake(request);
}

RequestRouter::RequestRouter(Daemon &daemon, AgentLinks &links, AnswerSink sink)
    : impl_(std::make_unique<Impl>(daemon, links, std::move(sink)))
{}

RequestRouter::~RequestRouter() = default;

void RequestRouter::add(CallerRequest &&callerRequest, RequestDetails details)
{
    auto request = std::make_unique<PendingRequest>();
    request->caller = callerRequest.id;
    request->request = std::move(callerRequest);
    request->details = std::move(details);
    request->arrived = impl_->now();
    request->deadline = request->arrived + request->details.deadline;
    impl_->admit(std::move(request));
}

void RequestRouter::onCallerLeft(CallerId caller)
{
    PendingRequest *request = impl_->find(caller);
    if (!request)
        return;
    impl_->daemon.metrics().count("lovagecourse_refusals_total",
                                  toString(RefusalReason::CallerLeft));
    impl_->withdrawOffers(*request);
    if (request->waiting)
        impl_->waiting.remove(request->details.flow, caller);
    impl_->cancelAttempts(*request, std::nullopt);
    impl_->remove(*request);
}

void RequestRouter::onConsumed(CallerId caller, std::size_t bytes)
{
    PendingRequest *request = impl_->find(caller);
    if (!request)
        return;
    request->unconsumed -= std::min(request->unconsumed, bytes);
    const std::size_t credited = std::min(request->alreadyCredited, bytes);
    request->alreadyCredited -= credited;
    const auto credit = static_cast<std::uint32_t>(bytes - credited);
    if (credit == 0)
        return;
    // Without an attempt no credit is lost: accept() computes the credit of the next attempt from
    // the unconsumed bytes.
    for (const RequestAttempt &attempt : request->attempts)
        impl_->links.send(attempt.server, Credit{attempt.grant, credit});
}

void RequestRouter::onAgentState(const ServerId &server)
{
    if (!impl_->links.isUsable(server))
        return;
    for (const FlowId &flow : impl_->waiting.flows())
        impl_->scheduleOffers(flow);
}

void RequestRouter::onAgentDown(const ServerId &server)
{
    for (const OfferId offer : impl_->offers.at(server)) {
        const auto outstanding = impl_->offers.remove(offer);
        impl_->requests.at(outstanding->caller)->offers.erase(server);
        impl_->scheduleOffers(impl_->requests.at(outstanding->caller)->details.flow);
    }
    std::vector<std::pair<AttemptId, CallerId>> lost;
    for (const auto &[id, caller] : impl_->grants) {
        if (id.first == server)
            lost.emplace_back(id, caller);
    }
    for (const auto &[id, caller] : lost) {
        const AttemptId &lostAttempt = id;
        impl_->grants.erase(lostAttempt);
        PendingRequest *request = impl_->find(caller);
        if (!request)
            continue;
        std::erase_if(request->attempts,
                      [&](const RequestAttempt &attempt) { return attempt.id() == lostAttempt; });
        impl_->onAttemptFailed(*request, server, Refusal{RefusalReason::AgentLost, Ran::Unknown});
    }
}

void RequestRouter::onAgentMessage(const ServerId &server, Message &&message)
{
    if (const auto *grant = std::get_if<Grant>(&message)) {
        impl_->onGrant(server, *grant);
    } else if (const auto *refused = std::get_if<OfferRefused>(&message)) {
        impl_->onOfferRefused(*refused);
    } else if (auto *head = std::get_if<AnswerHead>(&message)) {
        impl_->onHead(server, std::move(*head));
    } else if (const auto *data = std::get_if<AnswerData>(&message)) {
        impl_->onData(server, *data);
    } else if (const auto *end = std::get_if<AnswerEnd>(&message)) {
        impl_->onEnd(server, *end);
    } else {
        impl_->daemon.metrics().count("lovagecourse_unexpected_messages_total");
    }
}

std::size_t RequestRouter::openRequests() const
{
    return impl_->requests.size();
}

void RequestRouter::fillStatus(nlohmann::json &page) const
{
    page["open_requests"] = impl_->requests.size();
    page["backlogs"] = nlohmann::json::array();
    for (const FlowId &flow : impl_->waiting.flows()) {
        page["backlogs"].push_back({{"account", flow.account.value},
                                    {"service", flow.service.value},
                                    {"waiting", impl_->waiting.count(flow)}});
    }
}

} // namespace lovagecourse
