#include "core/Log.h"
#include "direct/DirectRouterImpl.h"

namespace lovagecourse {

/// Ends a request that would crash the server that begins to answer it; false when it may be sent.
bool DirectRouter::Impl::rejectsTraits(DirectExchange &exchange)
{
    const TraitDecision decision = context.crashTraits.decide(exchange.traits, drawShare(), now());
    if (decision == TraitDecision::Accept)
        return false;
    const TraitHash trait =
            context.crashTraits.findRejected(exchange.traits, now()).value_or(TraitHash(0));
    logInfo(LogPart::Routing, "event=crashes-servers request=", exchange.client.attemptId,
            " trait=", trait, " decision=", toString(decision), " sends=", exchange.sendCount);
    if (decision == TraitDecision::Try)
        return false;
    const milliseconds rejectedFor =
            std::chrono::duration_cast<milliseconds>(context.crashTraits.rejectedFor(trait, now()));
    if (exchange.isStreaming || exchange.mayHaveRun)
        fail(exchange, statusBadGateway, "crashes-servers");
    else
        refuse(exchange, "crashes-servers",
               decision == TraitDecision::Reject ? rejectedFor : defaultRetryAfter);
    return true;
}

/// The server may have crashed when it began to answer this request.
void DirectRouter::Impl::onBrokenBeforeAnswer(const DirectExchange &exchange)
{
    const DirectAttempt &attempt = *exchange.attempt;
    TraitCrash crash;
    crash.serverRun = context.pool.runOf(attempt.placement.server);
    crash.sentAt = attempt.sentAt;
    crash.brokenAt = now();
    for (const TraitHash trait : exchange.traits) {
        crash.trait = trait;
        if (context.crashTraits.onCrash(crash, crash.brokenAt))
            context.onTraitCrash(crash);
    }
}

/// The server has not crashed when it began to answer this request.
void DirectRouter::Impl::onAnswerBegun(const DirectExchange &exchange)
{
    const DirectAttempt &attempt = *exchange.attempt;
    if (attempt.isInvalid || attempt.status >= firstErrorStatus)
        return;
    for (const TraitHash trait : exchange.traits) {
        if (context.crashTraits.onBegun(trait, now()))
            context.onTraitCleared(trait);
    }
}

/// The server has not crashed since the request was sent to it.
void DirectRouter::Impl::onServerAnswers(const DirectAttempt &attempt)
{
    if (!context.crashTraits.isEmpty())
        context.crashTraits.onAlive(context.pool.runOf(attempt.placement.server), attempt.sentAt,
                                    now());
}

} // namespace lovagecourse
