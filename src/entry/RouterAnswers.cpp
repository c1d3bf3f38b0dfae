#include "core/Log.h"
#include "entry/RequestRouterImpl.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lovagecourse {

namespace {

constexpr std::string_view doneEvent = "data: [DONE]\n\n";
// A longer answer is forwarded before it is complete.
constexpr std::size_t maxBufferedBytes = 1U << 20;

} // namespace

void RequestRouter::Impl::cancelAttempts(PendingRequest &request,
                                         const std::optional<AttemptId> &except)
{
    for (const RequestAttempt &attempt : request.attempts) {
        if (attempt.id() == except)
            continue;
        grants.erase(attempt.id());
        links.send(attempt.server, Cancel{attempt.grant});
    }
    std::erase_if(request.attempts,
                  [&](const RequestAttempt &attempt) { return attempt.id() != except; });
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

RequestAttempt &RequestRouter::Impl::findAttempt(PendingRequest &request, const AttemptId &id)
{
    const auto found =
            std::find_if(request.attempts.begin(), request.attempts.end(),
                         [&](const RequestAttempt &attempt) { return attempt.id() == id; });
    assert(found != request.attempts.end());
    return *found;
}

void RequestRouter::Impl::onHead(const ServerId &server, AnswerHead &&head)
{
    PendingRequest *request = findByGrant(server, head.grant);
    if (!request)
        return;
    RequestAttempt &attempt = findAttempt(*request, {server, head.grant});
    attempt.status = head.status;
    attempt.headers = std::move(head.headers);
}

void RequestRouter::Impl::onFirstByte(PendingRequest &request, const RequestAttempt &attempt)
{
    request.winner = attempt.id();
    withdrawOffers(request);
    request.hedging = false;
    cancelAttempts(request, attempt.id());
    if (request.firstByteSeen)
        return;
    request.firstByteSeen = true;
    firstByteTimes.onFirstByte(request.details.service.name, now() - attempt.acceptedAt);
    daemon.metrics().latency("lovagecourse_first_byte_seconds", now() - request.arrived);
}

void RequestRouter::Impl::onData(const ServerId &server, const AnswerData &data)
{
    PendingRequest *request = findByGrant(server, data.grant);
    if (!request)
        return;
    const RequestAttempt attempt = findAttempt(*request, {server, data.grant});
    if (!request->winner) {
        onFirstByte(*request, attempt);
        scheduleWake(*request);
    }
    forwardData(*request, attempt, data);
}

/// Returns false for an answer that must be forwarded as it arrives: an event stream, or one that
/// is too long or finds no memory.
bool RequestRouter::Impl::bufferData(PendingRequest &request, const AnswerData &data)
{
    const std::size_t bytes = request.bufferedBody.size() + data.bytes.size();
    if (request.isEventStream || request.streamBegun || bytes > maxBufferedBytes)
        return false;
    if (request.bufferedMemory.bytes() == 0)
        request.bufferedMemory = MemoryReservation(daemon.memory(), MemoryHolder::ServerAnswers);
    if (request.bufferedMemory.growTo(bytes) == ReserveResult::Full) {
        daemon.metrics().count("lovagecourse_answers_unbuffered_total", "memory-short");
        logInfo(LogPart::Entry, "event=answer-unbuffered reason=memory-short bytes=", bytes,
                " memory_used=", daemon.memory()->used());
        return false;
    }
    request.bufferedBody += data.bytes;
    return true;
}

void RequestRouter::Impl::forwardData(PendingRequest &request, const RequestAttempt &attempt,
                                      const AnswerData &data)
{
    const bool isStream = isEventStream(attempt.headers);
    // An answer of another type, such as an error page after a resume, does not continue the
    // stream.
    const bool isOtherType = request.streamBegun && isStream != request.isEventStream;
    request.isEventStream = isStream;
    const bool isGap = isStream && data.firstEvent != request.deliveredEvents;
    if (isOtherType || isGap) {
        daemon.metrics().count("lovagecourse_answer_gaps_total");
        return refuse(request, Refusal{RefusalReason::AnswerBroken, Ran::Unknown});
    }
    request.deliveredEvents += data.eventCount;
    request.doneDelivered = isStream && data.bytes.ends_with(doneEvent);
    if (bufferData(request, data)) {
        links.send(attempt.server,
                   Credit{attempt.grant, static_cast<std::uint32_t>(data.bytes.size())});
        return;
    }
    if (!request.streamBegun) {
        request.streamBegun = true;
        sink.beginStream(request.caller, attempt.status, attempt.headers);
        request.alreadyCredited = request.bufferedBody.size();
        request.unconsumed = request.bufferedBody.size();
        request.bufferedMemory.release();
        if (!request.bufferedBody.empty())
            sink.sendData(request.caller, std::exchange(request.bufferedBody, {}));
    }
    request.unconsumed += data.bytes.size();
    sink.sendData(request.caller, data.bytes);
}

void RequestRouter::Impl::onEnd(const ServerId &server, const AnswerEnd &end)
{
    PendingRequest *request = findByGrant(server, end.grant);
    if (!request)
        return;
    const RequestAttempt attempt = findAttempt(*request, {server, end.grant});
    if (!end.complete) {
        grants.erase({server, end.grant});
        std::erase_if(request->attempts,
                      [&](const RequestAttempt &item) { return item.id() == attempt.id(); });
        return onAttemptFailed(*request, server, end.refusal);
    }
    // An answer without data, such as an error after a resume, does not complete a stream.
    if (request->streamBegun && request->isEventStream && !request->doneDelivered) {
        daemon.metrics().count("lovagecourse_answer_gaps_total");
        return refuse(*request, Refusal{RefusalReason::AnswerBroken, Ran::Unknown});
    }
    if (!request->winner)
        onFirstByte(*request, attempt);
    complete(*request, attempt, end.cost);
}

void RequestRouter::Impl::complete(PendingRequest &request, const RequestAttempt &attempt,
                                   Work cost)
{
    estimator.onFinished(request.details.flow, request.details.costHint, cost);
    daemon.metrics().count("lovagecourse_answers_total");
    daemon.metrics().latency("lovagecourse_answer_seconds", now() - request.arrived);
    if (request.streamBegun) {
        sink.endStream(request.caller);
    } else {
        request.bufferedMemory.moveTo(MemoryHolder::UnreadAnswers);
        sink.answer(request.caller, attempt.status, attempt.headers,
                    SharedBody(std::move(request.bufferedBody), std::move(request.bufferedMemory)));
    }
    remove(request);
}

bool RequestRouter::Impl::mayRetry(PendingRequest &request, const Refusal &refusal)
{
    const bool isFinal = refusal.reason == RefusalReason::CrashSuspect
                         || refusal.reason == RefusalReason::DeadlineExpired
                         || refusal.reason == RefusalReason::ClaimUnavailable
                         || refusal.reason == RefusalReason::MemoryShort
                         || refusal.reason == RefusalReason::IdempotencyKeyConflict
                         || refusal.reason == RefusalReason::IdempotencyKeyInProgress
                         || refusal.reason == RefusalReason::IdempotencyKeyUnsettled;
    if (isFinal || now() >= request.deadline)
        return false;
    if (daemon.suspects().decision(request.details.fingerprint, now()) == SuspectDecision::Refuse)
        return false;
    // Only event streams can be resumed after a part was forwarded.
    if (request.streamBegun && !request.isEventStream)
        return false;
    if (refusal.ran == Ran::No)
        return true;
    if (!request.details.service.repeatable)
        return false;
    if (retryBudget.tryTake())
        return true;
    daemon.metrics().count("lovagecourse_retries_refused_total", "budget");
    return false;
}

void RequestRouter::Impl::onAttemptFailed(PendingRequest &request, const ServerId &server,
                                          const Refusal &refusal)
{
    request.failedServers.insert(server);
    if (refusal.ran != Ran::No)
        request.ran = refusal.ran;
    // The other attempt of a hedged request continues.
    if (!request.attempts.empty())
        return;
    // The stream is complete and only its end was not reported; a resume would repeat the last
    // event.
    if (request.doneDelivered) {
        sink.endStream(request.caller);
        return remove(request);
    }
    if (mayRetry(request, refusal)) {
        daemon.metrics().count("lovagecourse_retries_total", toString(refusal.reason));
        withdrawOffers(request);
        return requeue(request);
    }
    const bool isSuspect = daemon.suspects().decision(request.details.fingerprint, now())
                           == SuspectDecision::Refuse;
    const RefusalReason reason = isSuspect ? RefusalReason::CrashSuspect : refusal.reason;
    refuse(request, Refusal{reason, request.ran == Ran::No ? refusal.ran : request.ran});
}

void RequestRouter::Impl::refuse(PendingRequest &request, Refusal refusal)
{
    // The status of MemoryShort promises that the request has not run.
    if (refusal.reason == RefusalReason::MemoryShort && refusal.ran != Ran::No)
        refusal.reason = RefusalReason::AgentLost;
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
    for (const RequestAttempt &attempt : request.attempts)
        grants.erase(attempt.id());
    const auto wakeup = wakeupByCaller.find(caller);
    if (wakeup != wakeupByCaller.end()) {
        wakeups.erase(wakeup->second);
        wakeupByCaller.erase(wakeup);
    }
    scheduleOffers(request.details.flow);
    requests.erase(caller);
}

} // namespace lovagecourse
