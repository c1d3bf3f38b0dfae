#include "agent/AgentNodeImpl.h"

#include "core/Log.h"

#include <nlohmann/json.hpp>
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

/// Token count in a model's non-streaming answer; empty when it has none.
std::optional<Work> completionTokens(const std::string &body)
{
    const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
    const auto pointer = nlohmann::json::json_pointer("/usage/completion_tokens");
    if (!answer.is_object() || !answer.contains(pointer) || !answer[pointer].is_number())
        return std::nullopt;
    return Work(std::max(0., answer[pointer].get<double>()));
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
    links->send(run.link, AnswerData{run.grant, 0, 0, answer.body});
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
    request.body = run.request.body;
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
    if (run.request.resumeFromEvent > 0)
        request.headers.emplace_back("x-resume-from", std::to_string(run.request.resumeFromEvent));
    BackendRequest::Handlers handlers;
    RequestRun *const runPointer = &run;
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
    if (run.claim || isNonStreamingModelAnswer(run))
        run.answer.body += part.bytes;
    if (!run.cancelled)
        links->send(run.link,
                    AnswerData{run.grant, part.firstEvent, part.eventCount, std::move(part.bytes)});
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
    if (outcome == BackendOutcome::Unproven) {
        run.phase = RunPhase::Probing;
        return monitor->probe([this, grant, elapsed = now() - run.sentAt](bool answered) {
            onProbedAfterUnprovenEnd(grant, answered, elapsed);
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
    monitor->probe([this, grant](bool answered) { onProbedAfterFailure(grant, answered); });
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
        claimLog->coordinator().recordOutcome(*run.claim, run.answer);
    finish(run.grant, true, Refusal{});
}

void AgentNode::Impl::onProbedAfterUnprovenEnd(GrantId grant, bool serverAnswered,
                                               std::chrono::nanoseconds elapsed)
{
    const auto found = runs.find(grant);
    if (found == runs.end())
        return;
    RequestRun &run = *found->second;
    logInfo(LogPart::Backend, "answer ended with its connection, server ",
            serverAnswered ? "answers" : "does not answer");
    if (serverAnswered)
        return onComplete(run, elapsed);
    if (run.claim)
        claimLog->coordinator().recordUnknownOutcome(*run.claim);
    onProbedAfterFailure(grant, false);
}

void AgentNode::Impl::onProbedAfterFailure(GrantId grant, bool serverAnswered)
{
    const auto found = runs.find(grant);
    if (found == runs.end())
        return;
    if (!serverAnswered)
        recordCrash();
    const bool notSent = found->second->phase == RunPhase::NotSent;
    const Ran ran = notSent ? Ran::No : Ran::Unknown;
    finish(grant, false, Refusal{RefusalReason::ServerLost, ran});
}

void AgentNode::Impl::recordCrash()
{
    // All connections broken by one crash lead here, but the crash must be counted once.
    if (crashRecorded)
        return;
    std::vector<Fingerprint> running;
    for (const auto &[grant, run] : runs) {
        const bool wasRunning = run->phase == RunPhase::Running || run->phase == RunPhase::Probing;
        if (wasRunning)
            running.push_back(run->offer.fingerprint);
    }
    if (running.empty())
        return;
    crashRecorded = true;
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
