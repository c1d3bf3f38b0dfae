#include "entry/RequestRouterImpl.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lovagecourse {

namespace {

constexpr std::string_view doneEvent = "data: [DONE]\n\n";
// A longer answer than this is passed on before it is whole.
constexpr std::size_t maxBufferedBytes = 1U << 20;

} // namespace

void RequestRouter::Impl::cancelAttempts(PendingRequest &request,
                                         const std::optional<AttemptId> &except)
{
    for (const Attempt &attempt : request.attempts) {
        if (attempt.id() == except)
            continue;
        grants.erase(attempt.id());
        links.send(attempt.server, Cancel{attempt.grant});
    }
    std::erase_if(request.attempts, [&](const Attempt &attempt) { return attempt.id() != except; });
}

PendingRequest *RequestRouter::Impl::findByGrant(const ServerId &server, GrantId grant)
{
    const auto found = grants.find({server, grant});
    return found == grants.end() ? nullptr : find(found->second);
}

PendingRequest *RequestRouter::Impl::find(CallerId caller)
{
    const auto found = requests.find(caller);
    return found == requests.end() ? nullptr : found->second.get();
}

Attempt &RequestRouter::Impl::attemptOf(PendingRequest &request, const AttemptId &id)
{
    const auto found = std::find_if(request.attempts.begin(), request.attempts.end(),
                                    [&](const Attempt &attempt) { return attempt.id() == id; });
    assert(found != request.attempts.end());
    return *found;
}

void RequestRouter::Impl::onHead(const ServerId &server, AnswerHead &&head)
{
    PendingRequest *request = findByGrant(server, head.grant);
    if (!request)
        return;
    Attempt &attempt = attemptOf(*request, {server, head.grant});
    attempt.status = head.status;
    attempt.headers = std::move(head.headers);
}

void RequestRouter::Impl::onFirstByte(PendingRequest &request, const Attempt &attempt)
{
    request.winner = attempt.id();
    withdrawOffers(request);
    request.hedging = false;
    cancelAttempts(request, attempt.id());
    if (request.firstByteSeen)
        return;
    request.firstByteSeen = true;
    firstBytes.onFirstByte(request.details.service.name, now() - attempt.acceptedAt);
    daemon.metrics().latency("lovagecourse_first_byte_seconds", now() - request.arrived);
}

void RequestRouter::Impl::onData(const ServerId &server, const AnswerData &data)
{
    PendingRequest *request = findByGrant(server, data.grant);
    if (!request)
        return;
    const Attempt attempt = attemptOf(*request, {server, data.grant});
    if (!request->winner) {
        onFirstByte(*request, attempt);
        scheduleWake(*request);
    }
    passOn(*request, attempt, data);
}

void RequestRouter::Impl::passOn(PendingRequest &request, const Attempt &attempt,
                                 const AnswerData &data)
{
    const bool isEventStream =
            findHeader(attempt.headers, "content-type").starts_with("text/event-stream");
    // A server that answers a resume with an error page does not go on with the stream.
    const bool isOther = request.streamBegun && isEventStream != request.isEventStream;
    request.isEventStream = isEventStream;
    const bool isGap = isEventStream && data.firstEvent != request.deliveredEvents;
    if (isOther || isGap) {
        daemon.metrics().count("lovagecourse_answer_gaps_total");
        return refuse(request, Refusal{RefusalReason::AnswerBroken, Ran::Unknown});
    }
    request.deliveredEvents += data.eventCount;
    request.doneDelivered = isEventStream && data.bytes.ends_with(doneEvent);
    const bool mayWait = !request.isEventStream
                         && request.buffered.size() + data.bytes.size() <= maxBufferedBytes;
    if (mayWait && !request.streamBegun) {
        request.buffered += data.bytes;
        links.send(attempt.server,
                   Credit{attempt.grant, static_cast<std::uint32_t>(data.bytes.size())});
        return;
    }
    if (!request.streamBegun) {
        request.streamBegun = true;
        sink.beginStream(request.caller, attempt.status, attempt.headers);
        request.creditedAhead = request.buffered.size();
        request.unconsumed = request.buffered.size();
        if (!request.buffered.empty())
            sink.sendData(request.caller, std::exchange(request.buffered, {}));
    }
    request.unconsumed += data.bytes.size();
    sink.sendData(request.caller, data.bytes);
}

void RequestRouter::Impl::onEnd(const ServerId &server, const AnswerEnd &end)
{
    PendingRequest *request = findByGrant(server, end.grant);
    if (!request)
        return;
    const Attempt attempt = attemptOf(*request, {server, end.grant});
    if (!end.complete) {
        grants.erase({server, end.grant});
        std::erase_if(request->attempts,
                      [&](const Attempt &item) { return item.id() == attempt.id(); });
        return onAttemptFailed(*request, server, end.refusal);
    }
    if (!request->winner)
        onFirstByte(*request, attempt);
    complete(*request, attempt, end.cost);
}

void RequestRouter::Impl::complete(PendingRequest &request, const Attempt &attempt, Work cost)
{
    estimator.onFinished(request.details.flow, request.details.hint, cost);
    daemon.metrics().count("lovagecourse_answers_total");
    daemon.metrics().latency("lovagecourse_answer_seconds", now() - request.arrived);
    if (request.streamBegun)
        sink.endStream(request.caller);
    else
        sink.answer(request.caller, attempt.status, attempt.headers, request.buffered);
    remove(request);
}

bool RequestRouter::Impl::mayTryAgain(PendingRequest &request, const Refusal &refusal)
{
    const bool isFinal = refusal.reason == RefusalReason::CrashSuspect
                         || refusal.reason == RefusalReason::DeadlineExpired
                         || refusal.reason == RefusalReason::ClaimUnavailable
                         || refusal.reason == RefusalReason::IdempotencyKeyConflict
                         || refusal.reason == RefusalReason::IdempotencyKeyInProgress
                         || refusal.reason == RefusalReason::IdempotencyKeyUnsettled;
    if (isFinal || now() >= request.deadline)
        return false;
    if (daemon.suspects().verdict(request.details.fingerprint, now()) == SuspectVerdict::Refuse)
        return false;
    // A broken answer that is not an event stream can't continue from the middle.
    if (request.streamBegun && !request.isEventStream)
        return false;
    if (refusal.ran == Ran::No)
        return true;
    if (!request.details.service.repeatable)
        return false;
    if (retries.tryTake())
        return true;
    daemon.metrics().count("lovagecourse_retries_refused_total", "budget");
    return false;
}

void RequestRouter::Impl::onAttemptFailed(PendingRequest &request, const ServerId &server,
                                          const Refusal &refusal)
{
    request.failedAt.insert(server);
    if (refusal.ran != Ran::No)
        request.ran = refusal.ran;
    // The other attempt of a hedged request goes on.
    if (!request.attempts.empty())
        return;
    // Only the word that the answer ended was lost; a resume would repeat its last event.
    if (request.doneDelivered) {
        sink.endStream(request.caller);
        return remove(request);
    }
    if (mayTryAgain(request, refusal)) {
        daemon.metrics().count("lovagecourse_retries_total", toString(refusal.reason));
        withdrawOffers(request);
        return requeue(request);
    }
    const bool isSuspect =
            daemon.suspects().verdict(request.details.fingerprint, now()) == SuspectVerdict::Refuse;
    const RefusalReason reason = isSuspect ? RefusalReason::CrashSuspect : refusal.reason;
    refuse(request, Refusal{reason, request.ran == Ran::No ? refusal.ran : request.ran});
}

void RequestRouter::Impl::refuse(PendingRequest &request, Refusal refusal)
{
    withdrawOffers(request);
    if (request.waiting)
        waiting.remove(request.details.flow, request.caller);
    request.waiting = false;
    cancelAttempts(request, std::nullopt);
    if (request.streamBegun) {
        daemon.metrics().count("lovagecourse_streams_aborted_total", toString(refusal.reason));
        sink.abortStream(request.caller);
    } else {
        sink.refuse(request.caller, refusal);
    }
    remove(request);
}

void RequestRouter::Impl::remove(PendingRequest &request)
{
    const CallerId caller = request.caller;
    for (const Attempt &attempt : request.attempts)
        grants.erase(attempt.id());
    const auto wakeup = wakeOf.find(caller);
    if (wakeup != wakeOf.end()) {
        wakeups.erase(wakeup->second);
        wakeOf.erase(wakeup);
    }
    scheduleRefill(request.details.flow);
    requests.erase(caller);
}

} // namespace lovagecourse
