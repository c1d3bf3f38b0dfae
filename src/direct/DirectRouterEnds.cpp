#include "core/Log.h"
#include "direct/DirectRouterImpl.h"

namespace lovagecourse {

/// Handles an answer whose connection ended without an error.
void DirectRouter::Impl::onAnswerEnded(DirectExchange &exchange)
{
    const DirectAttempt &attempt = *exchange.attempt;
    const AnswerEvidence &evidence = attempt.evidence;
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
/// crashed server as if their answers were whole, but accepts no further ones.
void DirectRouter::Impl::checkServer(DirectExchange &exchange)
{
    HttpRequest request;
    request.url = "http://" + toString(exchange.attempt->placement.address) + "/";
    request.connectTimeout = connectTimeout;
    request.freshConnection = true;
    const CallerId caller = exchange.caller;
    const auto accepts = std::make_shared<bool>(false);
    HttpClient::Handlers handlers;
    handlers.onConnected = [accepts] {
        *accepts = true;
        return false;
    };
    handlers.onDone = [this, caller, accepts](const std::optional<HttpFailure> &) {
        onServerChecked(caller, *accepts);
    };
    exchange.attempt->endedAt = now();
    exchange.attempt->transfer = context.http.start(std::move(request), std::move(handlers));
}

void DirectRouter::Impl::onServerChecked(CallerId caller, bool acceptsConnections)
{
    DirectExchange *exchange = find(caller);
    if (!exchange || !exchange->attempt)
        return;
    const DirectAttempt &attempt = *exchange->attempt;
    const ServerId server = attempt.placement.server;
    context.metrics.count("lovagecourse_servers_checked_total",
                          acceptsConnections ? "accepts" : "gone");
    logInfo(LogPart::Backend, "event=server-checked request=", exchange->client.attemptId,
            " server=", server, " accepts=", acceptsConnections,
            " took_ms=", toMs(now() - attempt.endedAt));
    context.pool.onOutcome(server, !acceptsConnections);
    if (acceptsConnections)
        return onAnswerComplete(*exchange);
    context.pool.onUnreachable(server, now());
    if (!attempt.hasBodyBytes)
        onBrokenBeforeAnswer(*exchange);
    onAttemptFailed(*exchange, "server-crashed");
}

} // namespace lovagecourse
