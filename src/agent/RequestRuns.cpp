#include "agent/AgentNodeImpl.h"
#include "agent/AnswerTokens.h"
#include "agent/CollectedAnswers.h"

#include "core/Log.h"
#include "routing/BreakEvidence.h"
#include "wire/FramePayload.h"

#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace lovagecourse {

namespace {

// A claimed request may run this much longer than its deadline; then its outcome is unknown.
constexpr milliseconds claimedRequestExtraTime{60000};
// Weight of a new sample in the mean service time.
constexpr double serviceTimeWeight = 0.1;

/// Digest by which a repeat with the same idempotency key is checked to be the same request.
std::string computeRequestDigest(const Offer &offer, const GrantAccept &request)
{
    const std::string text = offer.flow.service.value + '\n' + request.method + '\n' + request.path
                             + '\n' + request.body;
    return std::to_string(XXH64(text.data(), text.size(), 0));
}

double toMilliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void AgentNode::Impl::claim(RequestRun &run)
{
    run.phase = RunPhase::Claiming;
    if (!claimLog)
        return finish(run.grant, false, Refusal{RefusalReason::ClaimUnavailable, Ran::No});
    ClaimRequest request;
    request.key = AccountKey{run.offer.flow.account, run.request.idempotencyKey};
    request.requestDigest = computeRequestDigest(run.offer, run.request);
    request.deadline = run.deadline;
    const GrantId grant = run.grant;
    claimLog->begin(request, [this, grant](const ClaimDecision &decision) {
        onClaimDecision(grant, decision);
    });
}

void AgentNode::Impl::onClaimDecision(GrantId grant, const ClaimDecision &decision)
{
    const auto found = runs.find(grant);
    const auto *won = std::get_if<ClaimWon>(&decision);
    if (found == runs.end()) {
        if (won)
            claimLog->coordinator().abandonClaim(won->claim);
        return;
    }
    RequestRun &run = *found->second;
    if (const auto *refused = std::get_if<ClaimRefused>(&decision))
        return finish(grant, false, refused->refusal);
    if (const auto *recorded = std::get_if<ClaimReplay>(&decision))
        return replay(run, recorded->answer);
    if (!claimLog->coordinator().mayRun(won->claim, now())) {
        claimLog->coordinator().abandonClaim(won->claim);
        return finish(grant, false, Refusal{RefusalReason::ClaimUnavailable, Ran::No});
    }
    run.claim = won->claim;
    send(run);
}

void AgentNode::Impl::replay(RequestRun &run, const RecordedAnswer &answer)
{
    HeaderList headers = answer.headers;
    headers.emplace_back("idempotent-replayed", "true");
    links->send(run.link, AnswerHead{run.grant, answer.status, headers});
    for (AnswerData &piece : splitIntoFrames(run.grant, answer.body))
        links->send(run.link, std::move(piece));
    daemon->metrics().count("lovagecourse_replayed_answers_total");
    finish(run.grant, true, Refusal{});
}

void AgentNode::Impl::send(RequestRun &run)
{
    run.phase = RunPhase::Running;
    run.sentAt = now();
    run.lastPartAt = run.sentAt;
    HttpRequest request;
    request.method = run.request.method;
    request.url = "http://" + toString(server->address) + run.request.path;
    request.headers = run.request.headers;
    request.body = SharedBody(std::move(run.request.body), std::move(run.requestMemory));
    request.totalTimeout = milliseconds(std::max<std::uint32_t>(run.request.deadlineMs, 1));
    if (run.claim) {
        request.headers.emplace_back("idempotency-key", run.request.idempotencyKey.value);
        request.totalTimeout += claimedRequestExtraTime;
        // A claimed request must not be sent after its deadline, for example after a pause of the
        // process, because operators may settle its key from then on.
        const auto left = std::chrono::ceil<milliseconds>(run.deadline - now());
        request.connectTimeout = std::clamp(left, milliseconds(1), request.connectTimeout);
        request.freshConnection = true;
    }
    // On a kept connection that ends before the answer begins, libcurl would send the request
    // again, perhaps to the next process of a server that it has crashed.
    request.sendBodyOnce = true;
    request.freshConnection = request.freshConnection || run.offer.suspect || request.body.empty();
    if (run.request.resumeFromEvent > 0)
        request.headers.emplace_back("x-resume-from", std::to_string(run.request.resumeFromEvent));
    BackendRequest::Handlers handlers;
    RequestRun *const runPointer = &run;
    handlers.onConnected = [this, runPointer] { runPointer->connectedAt = now(); };
    handlers.onHead = [this, runPointer](int status, const HeaderList &headers) {
        onHead(*runPointer, status, headers);
    };
    handlers.onPart = [this, runPointer](AnswerPart &&part) {
        onPart(*runPointer, std::move(part));
    };
    handlers.onEnd = [this, grant = run.grant](BackendOutcome outcome) {
        onBackendEnd(grant, outcome);
    };
    run.backend =
            std::make_unique<BackendRequest>(daemon->http(), request, run.request.resumeFromEvent,
                                             run.request.credit, std::move(handlers));
}

void AgentNode::Impl::onHead(RequestRun &run, int status, const HeaderList &headers)
{
    run.isEventStream = isEventStream(headers);
    if (run.claim) {
        run.answer.status = static_cast<std::uint16_t>(status);
        run.answer.headers = headers;
    }
    if (!run.cancelled)
        links->send(run.link, AnswerHead{run.grant, static_cast<std::uint16_t>(status), headers});
}

void AgentNode::Impl::onPart(RequestRun &run, AnswerPart &&part)
{
    const TimePoint arrived = now();
    if (!run.firstPartReceived) {
        run.firstPartReceived = true;
        if (run.isEventStream && limit)
            limit->onFirstToken(arrived - run.sentAt);
    } else if (run.isEventStream && part.eventCount > 0 && limit) {
        limit->onInterTokenLatency((arrived - run.lastPartAt) / part.eventCount);
    }
    run.lastPartAt = arrived;
    if (run.isEventStream)
        chargeWork(run, Work(part.eventCount - (part.isDone ? 1 : 0)));
    const bool isCollected = run.claim || isNonStreamingModelAnswer(run);
    if (isCollected && !collect(run, part.bytes))
        return;
    if (!run.cancelled)
        links->send(run.link,
                    AnswerData{run.grant, part.firstEvent, part.eventCount, std::move(part.bytes)});
}

bool AgentNode::Impl::collect(RequestRun &run, std::string_view bytes)
{
    if (run.answerDropped)
        return true;
    const std::size_t wanted = run.answer.body.size() + bytes.size();
    if (run.answerMemory.bytes() == 0)
        run.answerMemory = MemoryReservation(daemon->memory(), MemoryHolder::ServerAnswers);
    while (run.answerMemory.growTo(wanted) == ReserveResult::Full) {
        RequestRun &dropped = answerToDrop(run, wanted);
        const bool isThisRun = &dropped == &run;
        const bool isEnded = isThisRun && run.claim.has_value();
        dropAnswer(dropped);
        if (isThisRun)
            return !isEnded;
    }
    run.answer.body += bytes;
    return true;
}

RequestRun &AgentNode::Impl::answerToDrop(RequestRun &growing, std::size_t wanted)
{
    const std::size_t missing =
            daemon->memory()->missingBytes(wanted, wanted - growing.answerMemory.bytes());
    std::vector<CollectedAnswer> answers{{wanted, growing.claim.has_value()}};
    std::vector<RequestRun *> holders{&growing};
    for (const auto &[grant, run] : runs) {
        if (run.get() == &growing || run->answerMemory.bytes() == 0)
            continue;
        answers.push_back({run->answerMemory.bytes(), run->claim.has_value()});
        holders.push_back(run.get());
    }
    return *holders[chooseAnswerToDrop(answers, 0, missing)];
}

/// Frees a collected answer for which there is no memory. A claimed request ends with it, because
/// its answer can't be recorded.
void AgentNode::Impl::dropAnswer(RequestRun &run)
{
    daemon->metrics().count("lovagecourse_answers_aborted_total", "memory-short");
    logWarning(LogPart::Agent,
               "event=answer-dropped reason=memory-short claimed=", run.claim.has_value(),
               " bytes=", run.answer.body.size(), " memory_used=", daemon->memory()->used());
    std::string().swap(run.answer.body);
    run.answerMemory.release();
    run.answerDropped = true;
    if (!run.claim)
        return;
    claimLog->coordinator().recordUnknownOutcome(*run.claim);
    finish(run.grant, false, Refusal{RefusalReason::AnswerBroken, Ran::Unknown});
}

void AgentNode::Impl::chargeWork(RequestRun &run, Work work)
{
    run.chargedWork += work;
    reporter->onServed(work);
    const Service *service = findService(run.offer.flow.service);
    if (service && run.chargedWork > service->longAbove)
        run.costClass = CostClass::Long;
    const Share share = shareOf(run.offer.flow);
    ledger->charge(run.offer.flow, share, work, now());
    const Work released = std::min(work, run.outstanding);
    run.outstanding -= released;
    ledger->adjustOutstanding(run.offer.flow, share, Work() - released, now());
}

bool AgentNode::Impl::isNonStreamingModelAnswer(const RequestRun &run) const
{
    const Service *service = findService(run.offer.flow.service);
    return service && service->kind == ServiceKind::Model && !run.isEventStream;
}

Work AgentNode::Impl::nonStreamingAnswerWork(const RequestRun &run,
                                             std::chrono::nanoseconds elapsed) const
{
    if (!isNonStreamingModelAnswer(run))
        return Work(toMilliseconds(elapsed));
    // An answer without a token count costs the estimated work.
    return completionTokens(run.answer.body).value_or(run.outstanding);
}

void AgentNode::Impl::onBackendEnd(GrantId grant, BackendOutcome outcome)
{
    RequestRun &run = *runs.at(grant);
    if (outcome == BackendOutcome::Complete)
        return onComplete(run, now() - run.sentAt);
    run.brokenAt = now();
    if (outcome == BackendOutcome::Unproven) {
        run.phase = RunPhase::Probing;
        return monitor->probe([this, grant, elapsed = now() - run.sentAt](ProbeResult probe) {
            onProbedAfterUnprovenEnd(grant, probe, elapsed);
        });
    }
    if (outcome == BackendOutcome::NotSent && run.claim)
        claimLog->coordinator().abandonClaim(*run.claim);
    else if (run.claim)
        claimLog->coordinator().recordUnknownOutcome(*run.claim);
    if (outcome == BackendOutcome::TimedOut)
        return finish(grant, false, Refusal{RefusalReason::DeadlineExpired, Ran::Unknown});
    // The request becomes a crash suspect if the server crashed. The entry must be notified before
    // it sends the request to another server.
    run.phase = outcome == BackendOutcome::NotSent ? RunPhase::NotSent : RunPhase::Probing;
    monitor->probe([this, grant](ProbeResult probe) { onProbedAfterFailure(grant, probe); });
}

void AgentNode::Impl::onComplete(RequestRun &run, std::chrono::nanoseconds elapsed)
{
    if (!run.isEventStream)
        chargeWork(run, nonStreamingAnswerWork(run, elapsed));
    if (!run.isEventStream && limit)
        limit->onServiceTime(elapsed);
    serviceTimeMs += serviceTimeWeight * (toMilliseconds(elapsed) - serviceTimeMs);
    daemon->metrics().latency("lovagecourse_server_seconds", elapsed);
    if (run.offer.suspect) {
        daemon->suspects().onCompleted(run.offer.fingerprint, now());
        links->sendToAll(CrashSuspectNotice{daemon->suspects().recent(now(), 1)});
    }
    if (run.claim)
        recordAnswer(run);
    finish(run.grant, true, Refusal{});
}

/// Records the answer of a claimed request; without it, repeats are refused as unsettled.
void AgentNode::Impl::recordAnswer(const RequestRun &run)
{
    const RecordResult result = claimLog->coordinator().recordOutcome(*run.claim, run.answer);
    if (result == RecordResult::Recorded)
        return;
    daemon->metrics().count("lovagecourse_answers_unrecorded_total", "too-large");
    logWarning(LogPart::Agent,
               "event=answer-unrecorded reason=too-large bytes=", run.answer.body.size());
}

void AgentNode::Impl::onProbedAfterUnprovenEnd(GrantId grant, ProbeResult probe,
                                               std::chrono::nanoseconds elapsed)
{
    const auto found = runs.find(grant);
    if (found == runs.end())
        return;
    RequestRun &run = *found->second;
    const bool isServerRunning = std::holds_alternative<ServerRuns>(judgeEnd(run, probe));
    logInfo(LogPart::Backend, "answer ended with its connection, server ",
            isServerRunning ? "runs" : "is not known to run");
    if (isServerRunning)
        return onComplete(run, elapsed);
    if (run.claim)
        claimLog->coordinator().recordUnknownOutcome(*run.claim);
    onProbedAfterFailure(grant, probe);
}

void AgentNode::Impl::onProbedAfterFailure(GrantId grant, ProbeResult probe)
{
    const auto found = runs.find(grant);
    if (found == runs.end())
        return;
    const RequestRun &run = *found->second;
    const BreakVerdict verdict = judgeEnd(run, probe);
    if (const auto *crash = std::get_if<ServerCrashed>(&verdict))
        recordCrash(run, crash->at);
    else if (std::holds_alternative<ServerStateUnknown>(verdict))
        daemon->metrics().count("lovagecourse_breaks_undecided_total");
    const bool notSent = run.phase == RunPhase::NotSent;
    const Ran ran = notSent ? Ran::No : Ran::Unknown;
    finish(grant, false, Refusal{RefusalReason::ServerLost, ran});
}

BreakVerdict AgentNode::Impl::judgeEnd(const RequestRun &run, ProbeResult probe) const
{
    BreakEvidence evidence;
    evidence.connectedAt = run.connectedAt;
    evidence.brokenAt = run.brokenAt;
    evidence.probe = probe;
    if (run.phase != RunPhase::NotSent) {
        evidence.idleEnds = monitor->idleEnds();
        evidence.oldestOpenIdle = monitor->oldestOpenIdle();
    }
    return judgeBreak(evidence);
}

/// Records the requests that were running when the server crashed. All connections
/// broken by one crash lead here, but the crash must be counted once: for each request, not for the
/// outage, because a server that has restarted may crash again before it is probed.
void AgentNode::Impl::recordCrash(const RequestRun &broken, TimePoint crashedAt)
{
    const bool isKnown =
            broken.phase == RunPhase::NotSent ? isOutageRecorded : broken.isCrashRecorded;
    if (isKnown)
        return;
    std::vector<Fingerprint> running;
    for (const auto &[grant, run] : runs) {
        const bool wasRunning = (run->phase == RunPhase::Running || run->phase == RunPhase::Probing)
                                && !run->isCrashRecorded && ranAtCrash(run->connectedAt, crashedAt);
        if (!wasRunning)
            continue;
        run->isCrashRecorded = true;
        running.push_back(run->offer.fingerprint);
    }
    if (running.empty())
        return;
    isOutageRecorded = !monitor->isUp();
    const std::uint64_t crashId = daemon->incarnation().value * 1000 + ++lastCrash;
    logWarning(LogPart::Agent, "server crashed while running ", running.size(), " requests");
    daemon->metrics().count("lovagecourse_server_crashes_total");
    daemon->suspects().onCrash(running, crashId, now());
    links->sendToAll(CrashSuspectNotice{daemon->suspects().recent(now(), running.size())});
}

void AgentNode::Impl::finish(GrantId grant, bool complete, const Refusal &refusal)
{
    const auto found = runs.find(grant);
    assert(found != runs.end());
    const std::unique_ptr<RequestRun> run = std::move(found->second);
    runs.erase(found);
    // Releases the part of the estimated work that was not used.
    ledger->adjustOutstanding(run->offer.flow, shareOf(run->offer.flow), Work() - run->outstanding,
                              now());
    if (!run->cancelled)
        links->send(run->link, AnswerEnd{grant, complete, refusal, run->chargedWork});
    if (!complete)
        daemon->metrics().count("lovagecourse_runs_failed_total", toString(refusal.reason));
    if (claimLog)
        claimLog->appendDueRecords();
    grantQueuedOffers();
    exitWhenDrained();
}

} // namespace lovagecourse
