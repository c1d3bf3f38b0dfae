#include "core/Log.h"
#include "direct/AnswerCopy.h"
#include "direct/DirectRouterImpl.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// A new run has registered this long after it accepts connections.
constexpr milliseconds registrationDelay{250};
// The list of servers is read within the bound of leaving servers (2 s by default).
constexpr milliseconds maxRegistrationWait{3000};
constexpr milliseconds registrationCheckInterval{50};

} // namespace

/// Handles an answer whose connection ended without an error.
void DirectRouter::Impl::onAnswerEnded(DirectExchange &exchange)
{
    noteSignOfServer(*exchange.attempt);
    const DirectAttempt &attempt = *exchange.attempt;
    const AnswerEvidence &evidence = attempt.evidence;
    if (mayContainCopy(attempt.body, evidence.framing, evidence.isConnectionReused,
                       context.codec)) {
        logWarning(LogPart::Routing, "event=answer-copy request=", exchange.client.attemptId,
                   " server=", attempt.placement.server, " bytes=", attempt.body.size(), evidence);
        context.pool.onOutcome(attempt.placement.server, true);
        return onAttemptFailed(exchange, "answer-copy");
    }
    const bool isSuccess = attempt.status < firstErrorStatus;
    const AnswerVerdict verdict = isSuccess ? judgeAnswer(evidence) : AnswerVerdict::Whole;
    context.metrics.count("lovagecourse_answers_ended_total", toString(evidence.framing));
    const bool isNotable = verdict != AnswerVerdict::Whole || attempt.answer.attemptId.empty();
    if (isNotable)
        logInfo(LogPart::Backend, "event=answer-ended request=", exchange.client.attemptId,
                " server=", attempt.placement.server, " status=", attempt.status,
                " has_id=", !attempt.answer.attemptId.empty(), evidence,
                " verdict=", toString(verdict));
    if (verdict == AnswerVerdict::Unproven)
        return checkServer(exchange);
    const bool isBroken = verdict == AnswerVerdict::Broken;
    context.pool.onOutcome(attempt.placement.server,
                           isBroken || attempt.status >= firstServerErrorStatus);
    if (isBroken)
        return onAttemptFailed(exchange, "ended-early");
    onAnswerComplete(exchange);
}

/// Opens a connection to the server, without a request. The kernel ends the connections of a
/// crashed server as if their answers were whole, but accepts no further ones until the next run.
void DirectRouter::Impl::checkServer(DirectExchange &exchange)
{
    HttpRequest request;
    request.url = "http://" + toString(exchange.attempt->placement.address) + "/";
    request.connectTimeout = connectTimeout;
    request.freshConnection = true;
    const CallerId caller = exchange.caller;
    const AttemptKey key = exchange.attempt->key;
    const auto accepts = std::make_shared<bool>(false);
    HttpClient::Handlers handlers;
    handlers.onConnected = [accepts] {
        *accepts = true;
        return false;
    };
    handlers.onDone = [this, caller, key, accepts](const std::optional<HttpFailure> &) {
        onServerChecked(caller, key, *accepts);
    };
    exchange.attempt->endedAt = now();
    exchange.attempt->transfer = context.http.start(std::move(request), std::move(handlers));
}

void DirectRouter::Impl::onServerChecked(CallerId caller, AttemptKey key, bool acceptsConnections)
{
    DirectExchange *exchange = find(caller, key);
    if (!exchange)
        return;
    noteSignOfServer(*exchange->attempt);
    exchange->attempt->checkedAt = now();
    judgeCheckedServer(caller, key, acceptsConnections);
}

/// Decides whether the answer is whole. Waits for a newer registration if it depends on the run.
void DirectRouter::Impl::judgeCheckedServer(CallerId caller, AttemptKey key,
                                            bool acceptsConnections)
{
    DirectExchange *exchange = find(caller, key);
    if (!exchange)
        return;
    const DirectAttempt &attempt = *exchange->attempt;
    const ServerId server = attempt.placement.server;
    ServerEvidence evidence;
    evidence.acceptsConnections = acceptsConnections;
    evidence.longestSilence = attempt.evidence.longestSilence;
    if (const auto run = context.pool.registeredRun(server))
        evidence.run = *run == attempt.serverRun ? RunComparison::Same : RunComparison::Changed;
    const auto listTime = context.pool.listTime();
    evidence.isRegistrationNewer = listTime && *listTime >= attempt.checkedAt + registrationDelay;
    const ServerVerdict verdict = judgeServer(evidence);
    if (verdict == ServerVerdict::Unproven && now() < attempt.checkedAt + maxRegistrationWait) {
        exchange->attempt->checkTimer = std::make_unique<Timer>(
                context.loop, [this, caller, key] { judgeCheckedServer(caller, key, true); });
        exchange->attempt->checkTimer->startOnce(registrationCheckInterval);
        return;
    }
    context.metrics.count("lovagecourse_servers_checked_total", toString(verdict));
    logInfo(LogPart::Backend, "event=server-checked request=", exchange->client.attemptId,
            " server=", server, " accepts=", acceptsConnections,
            " same_run=", evidence.run == RunComparison::Same,
            " newer=", evidence.isRegistrationNewer, attempt.evidence,
            " verdict=", toString(verdict), " took_ms=", toMs(now() - attempt.endedAt));
    context.pool.onOutcome(server, verdict == ServerVerdict::Crashed);
    if (verdict == ServerVerdict::Stayed)
        return onAnswerComplete(*exchange);
    if (!acceptsConnections)
        context.pool.onUnreachable(server, now());
    if (!attempt.hasBodyBytes)
        onBrokenBeforeAnswer(*exchange);
    onAttemptFailed(*exchange,
                    verdict == ServerVerdict::Crashed ? "server-crashed" : "end-unproven");
}

void DirectRouter::Impl::noteSignOfServer(DirectAttempt &attempt) const
{
    std::chrono::nanoseconds &longest = attempt.evidence.longestSilence;
    longest = std::max<std::chrono::nanoseconds>(longest, now() - attempt.lastHeardAt);
    attempt.lastHeardAt = now();
}

} // namespace lovagecourse
