#include "core/Log.h"
#include "direct/DirectRouterImpl.h"

#include <algorithm>
#include <utility>

namespace lovagecourse {

namespace {

// Reading from the server is paused while more bytes are buffered for a slow caller.
constexpr std::size_t defaultUnconsumedBytes = 256U << 10;
// The same while memory is short.
constexpr std::size_t pressureUnconsumedBytes = 32U << 10;
// Reason of a rejected answer.
constexpr std::string_view headTooLarge = "head-too-large";
// Answers reserve their memory in steps of this size.
constexpr std::size_t answerStepBytes = 16U << 10;
// Each unreachable server can delay a request by connectTimeout.
constexpr std::size_t maxUnreachableServers = 4;
// Sum of the event loop delays at the send and at the first byte, above which the measured time is
// no sample of the server's speed.
constexpr milliseconds maxSampleLoopDelay{15};
// Larger than answers of backend servers; a body without end is cut here.
constexpr std::size_t maxAnswerBodyBytes = 16U << 20;
// Unfinished events up to this size are part of what each connection may take.
constexpr std::size_t uncountedEventBytes = 16U << 10;
// Larger than one event of a stream; bytes without an end of event are cut here.
constexpr std::size_t maxEventBytes = 1U << 20;

} // namespace

/// Decides when the connection is ready whether the request is sent. The server may have begun to
/// leave since it was chosen.
bool DirectRouter::Impl::onConnected(CallerId caller, AttemptKey key)
{
    DirectExchange *exchange = find(caller, key);
    if (!exchange)
        return false;
    DirectAttempt &attempt = *exchange->attempt;
    const auto sendDelay = now() - attempt.sentAt;
    if (!context.pool.accepts(attempt.placement.server, now(), attempt.sentAt)) {
        attempt.isWithdrawn = true;
        context.metrics.count("lovagecourse_sends_withdrawn_total");
        logInfo(LogPart::Routing, "event=send-withdrawn request=", exchange->client.attemptId,
                " server=", attempt.placement.server, " send_delay_ms=", toMs(sendDelay));
        return false;
    }
    exchange->listAgeMs = toMs(attempt.placement.listAge);
    exchange->sendDelayMs = toMs(sendDelay);
    context.metrics.latency("lovagecourse_server_list_age_seconds",
                            attempt.placement.listAge + sendDelay);
    context.metrics.latency("lovagecourse_send_delay_seconds", sendDelay);
    return true;
}

void DirectRouter::Impl::onHead(CallerId caller, AttemptKey key, const HttpHead &head)
{
    DirectExchange *exchange = find(caller, key);
    if (!exchange)
        return;
    DirectAttempt &attempt = *exchange->attempt;
    const int status = head.status;
    noteSignOfServer(attempt);
    attempt.hasHead = true;
    attempt.status = status;
    attempt.answer = context.codec.decodeAnswer(status, head.headers);
    const ServerAnswer &answer = attempt.answer;
    const bool hasWrongId =
            !answer.attemptId.empty() && answer.attemptId != exchange->client.attemptId;
    const bool isUnsigned = status < firstErrorStatus && !answer.isSigned;
    attempt.isInvalid = hasWrongId || isUnsigned;
    attempt.evidence.framing = head.framing;
    attempt.evidence.isConnectionReused = head.isConnectionReused;
    attempt.evidence.isEventStream = status < firstErrorStatus
                                     && (isEventStream(head.headers)
                                         || (isStreamKind(exchange->route->kind)
                                             && findHeader(head.headers, "content-type").empty()));
    const auto loopDelay = attempt.loopDelayAtSend + context.loop.delay();
    context.pool.onFirstByte(attempt.placement.server, attempt.number, now(),
                             loopDelay < maxSampleLoopDelay);
    if (answer.load)
        context.pool.onLoad(attempt.placement.server, *answer.load, now());
    if (exchange->stallTimer)
        exchange->stallTimer->stop();
    if (exchange->hedgeTimer)
        exchange->hedgeTimer->stop();
    if (!attempt.isInvalid) {
        if (loopDelay < maxSampleLoopDelay && status < firstErrorStatus) {
            context.metrics.ratio("lovagecourse_first_byte_prediction_ratio",
                                  exchange->service.value,
                                  latencyRatio(toMs(now() - attempt.sentAt),
                                               attempt.placement.prediction.firstByteMs()));
            observeLatency(*exchange, attempt);
        }
        context.pool.onWords(AnswerOrigin{attempt.placement.server, attempt.serverRun,
                                          attempt.sentAt, exchange->client.attemptId},
                             answer, now());
        if (answer.isLeaving)
            context.metrics.count("lovagecourse_leaving_answers_total");
        if (answer.pause) {
            context.metrics.count("lovagecourse_pauses_heard_total");
            context.metrics.latency("lovagecourse_pause_seconds", *answer.pause);
        }
        // A resumed stream sends no further head, and neither does an answer that starts a retry.
        const bool isHeadSent = !exchange->isStreaming && !answer.notExecuted;
        if (isHeadSent && !gateway->canSendHead(exchange->caller, answer.forwarded)) {
            logWarning(LogPart::Routing,
                       "event=head-too-large request=", exchange->client.attemptId,
                       " server=", attempt.placement.server, " status=", status,
                       " headers=", answer.forwarded.size());
            return rejectAnswer(*exchange, headTooLarge);
        }
        return onServerAnswers(attempt);
    }
    logWarning(LogPart::Routing, "event=garbled-answer request=", exchange->client.attemptId,
               " server=", attempt.placement.server, " status=", status,
               " answer_id=", answer.attemptId, " signed=", answer.isSigned, attempt.evidence);
    rejectAnswer(*exchange, "garbled-answer");
}

/// Ends an attempt whose answer can't be used. Its connection is closed at once, because further
/// bytes may follow without end; the rest waits until the HTTP client has returned.
void DirectRouter::Impl::rejectAnswer(DirectExchange &exchange, std::string_view reason)
{
    exchange.attempt->isInvalid = true;
    context.http.cancel(exchange.attempt->transfer);
    const CallerId caller = exchange.caller;
    const AttemptKey key = exchange.attempt->key;
    exchange.attempt->rejectTimer =
            std::make_unique<Timer>(context.loop, [this, caller, key, reason] {
                if (DirectExchange *rejected = find(caller, key))
                    onAnswerRejected(*rejected, reason);
            });
    exchange.attempt->rejectTimer->startOnce(std::chrono::nanoseconds(0));
}

void DirectRouter::Impl::onAnswerRejected(DirectExchange &exchange, std::string_view reason)
{
    if (reason == headTooLarge) {
        // The request's own head may leave little room, so the server is not at fault and another
        // one would give the same answer.
        exchange.mayHaveRun = true;
        cancelAttempts(exchange);
        return fail(exchange, statusBadGateway, reason);
    }
    context.pool.onOutcome(exchange.attempt->placement.server, true);
    cancelAttempt(exchange);
    onAttemptFailed(exchange, reason);
}

void DirectRouter::Impl::onData(CallerId caller, AttemptKey key, std::string_view bytes)
{
    DirectExchange *exchange = find(caller, key);
    if (!exchange)
        return;
    DirectAttempt &attempt = *exchange->attempt;
    noteSignOfServer(attempt);
    if (!attempt.hasBodyBytes) {
        attempt.hasBodyBytes = true;
        exchange->firstByteMs = toMs(now() - exchange->arrived);
        context.metrics.latency("lovagecourse_first_byte_seconds", now() - exchange->arrived);
        onAnswerBegun(*exchange);
    }
    if (attempt.isInvalid)
        return;
    if (attempt.evidence.isEventStream)
        return onStreamData(*exchange, bytes);
    if (!reserveAnswer(*exchange, attempt.body.size() + bytes.size()))
        return;
    if (endsRequest(*exchange))
        onAnswerWins(*exchange);
    attempt.body.append(bytes);
    if (attempt.body.size() > maxAnswerBodyBytes)
        onAnswerWithoutEnd(*exchange, attempt.body.size());
}

DirectExchange *DirectRouter::Impl::largestAnswer()
{
    DirectExchange *largest = nullptr;
    for (const auto &[caller, exchange] : exchanges) {
        const auto size = [](const DirectExchange &candidate) {
            const auto &attempt = candidate.attempt;
            // An answer that has ended only waits for the check of its server.
            const bool isOpen = attempt && !attempt->isInvalid && attempt->endedAt == TimePoint{};
            return isOpen ? attempt->bodyMemory.bytes() : 0;
        };
        if (size(*exchange) > (largest ? size(*largest) : 0))
            largest = exchange.get();
    }
    return largest;
}

/// Reserves memory for an answer that is buffered. When there is none, the largest answer that has
/// not ended is rejected: an answer without end grows larger than others. Returns false if it was
/// this one.
bool DirectRouter::Impl::reserveAnswer(DirectExchange &exchange, std::size_t bytes)
{
    MemoryReservation &memory = exchange.attempt->bodyMemory;
    if (memory.bytes() == 0)
        memory = MemoryReservation(context.memory, MemoryHolder::ServerAnswers);
    if (bytes <= memory.bytes())
        return true;
    const std::size_t steps = (bytes + answerStepBytes - 1) / answerStepBytes;
    const std::size_t wanted = steps * answerStepBytes;
    if (memory.growTo(wanted) == ReserveResult::Reserved)
        return true;
    gateway->relieveMemory(wanted, wanted - memory.bytes());
    while (memory.growTo(wanted) == ReserveResult::Full) {
        DirectExchange *largest = largestAnswer();
        DirectExchange &ended = largest ? *largest : exchange;
        DirectAttempt &attempt = *ended.attempt;
        context.metrics.count("lovagecourse_answers_aborted_total", "memory-short");
        logWarning(LogPart::Routing,
                   "event=answer-aborted reason=memory-short request=", ended.client.attemptId,
                   " server=", attempt.placement.server, " bytes=", attempt.bodyMemory.bytes(),
                   " memory_used=", context.memory->used());
        std::string().swap(attempt.body);
        attempt.splitter = EventStreamSplitter();
        attempt.bodyMemory.release();
        rejectAnswer(ended, "memory-short");
        if (&ended == &exchange)
            return false;
    }
    return true;
}

std::size_t DirectRouter::Impl::maxUnconsumedBytes() const
{
    const bool isShort = context.memory && context.memory->isUnderPressure();
    return isShort ? pressureUnconsumedBytes : defaultUnconsumedBytes;
}

void DirectRouter::Impl::onAnswerWithoutEnd(DirectExchange &exchange, std::size_t bytes)
{
    const DirectAttempt &attempt = *exchange.attempt;
    logWarning(LogPart::Routing, "event=answer-without-end request=", exchange.client.attemptId,
               " server=", attempt.placement.server, " stream=", attempt.evidence.isEventStream,
               " bytes=", bytes);
    rejectAnswer(exchange, "answer-without-end");
}

/// Forwards complete events only, so that another server can resume the stream after them and bytes
/// that are no events don't reach the caller.
void DirectRouter::Impl::onStreamData(DirectExchange &exchange, std::string_view bytes)
{
    DirectAttempt &attempt = *exchange.attempt;
    const CompleteEvents events = attempt.splitter.append(bytes);
    attempt.evidence.eventCount += events.count;
    attempt.evidence.isInsideEvent = attempt.splitter.isInsideEvent();
    const std::size_t length = exchange.events.add(
            events.bytes, attempt.evidence.isConnectionReused
                                  && attempt.evidence.framing == BodyFraming::ConnectionEnd);
    if (length > 0) {
        onAnswerWins(exchange);
        forward(exchange, std::string_view(events.bytes).substr(0, length));
    }
    if (length < events.bytes.size()) {
        logWarning(LogPart::Routing, "event=foreign-event request=", exchange.client.attemptId,
                   " server=", attempt.placement.server, " send=", exchange.sendCount,
                   " after_id=", exchange.events.lastId(), attempt.evidence);
        return rejectAnswer(exchange, "foreign-event");
    }
    const std::string &unfinished = attempt.splitter.rest();
    if (unfinished.size() > maxEventBytes)
        return onAnswerWithoutEnd(exchange, unfinished.size());
    if (unfinished.capacity() > uncountedEventBytes)
        reserveAnswer(exchange, unfinished.capacity());
    else
        attempt.bodyMemory.release();
}

void DirectRouter::Impl::forward(DirectExchange &exchange, std::string_view bytes)
{
    if (!exchange.isStreaming) {
        exchange.isStreaming = true;
        onStreamBegun(exchange);
        gateway->beginStream(exchange.caller, exchange.attempt->status,
                             exchange.attempt->answer.forwarded);
    }
    exchange.unconsumedBytes += bytes.size();
    gateway->sendData(exchange.caller, bytes);
    if (exchange.unconsumedBytes > maxUnconsumedBytes() && !exchange.isPaused) {
        exchange.isPaused = true;
        context.http.pause(exchange.attempt->transfer);
    }
}

/// Binds a stream whose first events are forwarded to the version that began it.
void DirectRouter::Impl::onStreamBegun(DirectExchange &exchange)
{
    if (exchange.version || exchange.route->kind != RequestKind::ResumableStream)
        return;
    const SoftwareVersion &version = exchange.attempt->placement.version;
    exchange.version = versionHash(exchange.service, version);
    context.streams.onBegun(exchange.client.attemptId, exchange.service, version,
                            servicesOf(exchange));
}

void DirectRouter::Impl::onDone(CallerId caller, AttemptKey key,
                                const std::optional<HttpFailure> &failure)
{
    DirectExchange *exchange = find(caller, key);
    if (!exchange)
        return;
    const DirectAttempt &attempt = *exchange->attempt;
    const ServerId server = attempt.placement.server;
    context.pool.onEnded(server, attempt.number);
    if (attempt.isWithdrawn)
        return onNotSent(*exchange);
    if (failure && failure->headFault) {
        const std::string_view fault = toString(*failure->headFault);
        logWarning(LogPart::Routing, "event=garbled-answer request=", exchange->client.attemptId,
                   " server=", server, " head_fault=", fault);
        context.metrics.count("lovagecourse_garbled_heads_total", fault);
        return onAnswerRejected(*exchange, "garbled-answer");
    }
    if (failure) {
        logInfo(LogPart::Backend, "event=send-failed request=", exchange->client.attemptId,
                " server=", server, " curl=", failure->curlCode, " sent=", failure->maybeSent,
                " head=", attempt.hasHead, " body=", attempt.hasBodyBytes, attempt.evidence);
        if (!attempt.hasHead)
            context.pool.onUnreachable(server, now());
        // A delay of this process can explain that no connection was made in time.
        const bool isOwnDelay = !failure->maybeSent
                                && attempt.loopDelayAtSend + context.loop.delay() >= connectTimeout;
        if (!isOwnDelay)
            context.pool.onConnectionBroken(server, attempt.serverRun, now());
        context.pool.onOutcome(server, true);
        if (!failure->maybeSent)
            return onNotSent(*exchange);
        if (!attempt.hasBodyBytes)
            onBrokenBeforeAnswer(*exchange);
        return onAttemptFailed(*exchange, "connection-broken");
    }
    if (attempt.isInvalid)
        return onAnswerRejected(*exchange, "garbled-answer");
    if (attempt.answer.notExecuted)
        return onNotExecuted(*exchange);
    onAnswerEnded(*exchange);
}

void DirectRouter::Impl::endAttempt(DirectExchange &exchange)
{
    if (exchange.stallTimer)
        exchange.stallTimer->stop();
    if (exchange.hedgeTimer)
        exchange.hedgeTimer->stop();
    exchange.isPaused = false;
    exchange.attempt.reset();
}

void DirectRouter::Impl::cancelAttempt(DirectExchange &exchange)
{
    if (!exchange.attempt)
        return;
    context.pool.onEnded(exchange.attempt->placement.server, exchange.attempt->number);
    context.http.cancel(exchange.attempt->transfer);
    endAttempt(exchange);
}

/// Handles an attempt whose connection was never made: the server did not receive the request, so
/// the attempt does not count as a send.
void DirectRouter::Impl::onNotSent(DirectExchange &exchange)
{
    endAttempt(exchange);
    --exchange.sendCount;
    if (continueWithRival(exchange))
        return;
    if (exchange.triedServers.size() < maxUnreachableServers + exchange.sendCount
        && now() < exchange.deadline)
        return dispatch(exchange);
    if (exchange.isStreaming || exchange.mayHaveRun)
        return fail(exchange, statusBadGateway, "unreachable");
    refuse(exchange, "unreachable", defaultRetryAfter);
}

void DirectRouter::Impl::onNotExecuted(DirectExchange &exchange)
{
    const DirectAttempt &attempt = *exchange.attempt;
    logInfo(LogPart::Routing, "event=not-executed request=", exchange.client.attemptId,
            " server=", attempt.placement.server, " status=", attempt.status,
            " has_id=", !attempt.answer.attemptId.empty(), attempt.evidence);
    context.pool.onUnreachable(attempt.placement.server, now());
    if (attempt.status != statusMisdirected && !attempt.answer.isLeaving)
        onServiceRejected(exchange.service);
    endAttempt(exchange);
    if (continueWithRival(exchange))
        return;
    if (tryTakeRetry(exchange))
        return dispatch(exchange);
    if (exchange.isStreaming || exchange.mayHaveRun)
        return fail(exchange, statusBadGateway, "server-refused");
    refuse(exchange, "server-refused", defaultRetryAfter);
}

/// Handles an attempt that the server may have run and that gave no usable answer.
void DirectRouter::Impl::onAttemptFailed(DirectExchange &exchange, std::string_view reason)
{
    exchange.mayHaveRun = true;
    endAttempt(exchange);
    if (continueWithRival(exchange))
        return;
    // Another run's answer begins with its first event, unless it can be told where to go on.
    const bool canResume = exchange.route->kind == RequestKind::ResumableStream
                           && !exchange.events.lastId().empty();
    const bool canContinue =
            isRetryable(exchange.route->kind) && (!exchange.isStreaming || canResume);
    if (canContinue && tryTakeRetry(exchange))
        return dispatch(exchange);
    fail(exchange, statusBadGateway, reason);
}

void DirectRouter::Impl::onAnswerComplete(DirectExchange &exchange)
{
    DirectAttempt &attempt = *exchange.attempt;
    if (exchange.isStreaming) {
        if (!attempt.evidence.isEventStream)
            return onAttemptFailed(exchange, "resume-failed");
        // Line breaks after the last event.
        gateway->sendData(exchange.caller, attempt.splitter.rest());
        gateway->endStream(exchange.caller);
        return finish(exchange, "answered", attempt.status, "stream");
    }
    if (exchange.rival && !endsRequest(exchange))
        return onErrorWithRival(exchange);
    onAnswerWins(exchange);
    const bool isFailure = attempt.status >= firstServerErrorStatus;
    if (isFailure && exchange.route->kind == RequestKind::Safe && tryTakeRetry(exchange)) {
        exchange.mayHaveRun = true;
        exchange.failedAnswer = std::move(exchange.attempt);
        endAttempt(exchange);
        return dispatch(exchange);
    }
    // A server that has not run the request says so by a header or by status 421; see onDone().
    if (promisesNotRun(attempt.status)) {
        logInfo(LogPart::Routing, "event=refusal-unproven request=", exchange.client.attemptId,
                " server=", attempt.placement.server, " status=", attempt.status);
        exchange.mayHaveRun = true;
        return fail(exchange, statusBadGateway, "server-refused");
    }
    deliver(exchange, attempt);
}

void DirectRouter::Impl::deliver(DirectExchange &exchange, DirectAttempt &attempt)
{
    attempt.bodyMemory.resize(attempt.body.size());
    attempt.bodyMemory.moveTo(MemoryHolder::UnreadAnswers);
    gateway->answer(exchange.caller, attempt.status, attempt.answer.forwarded,
                    SharedBody(std::move(attempt.body), std::move(attempt.bodyMemory)));
    finish(exchange, "answered", attempt.status, "whole");
}

void DirectRouter::Impl::onDeadline(CallerId caller)
{
    DirectExchange *exchange = find(caller);
    if (!exchange)
        return;
    const auto unread = std::exchange(exchange->waitedUnread, std::chrono::nanoseconds(0));
    if (exchange->isStreaming && unread > std::chrono::nanoseconds(0)) {
        // The caller's own deadline may be later by up to this time. An answer that has begun is
        // not broken off before it.
        exchange->deadlineTimer->startOnce(unread);
        return;
    }
    exchange->mayHaveRun = exchange->mayHaveRun || exchange->attempt;
    cancelAttempts(*exchange);
    if (exchange->mayHaveRun)
        return fail(*exchange, statusGatewayTimeout, "deadline");
    refuse(*exchange, "deadline", defaultRetryAfter);
}

void DirectRouter::Impl::onStalled(CallerId caller)
{
    DirectExchange *exchange = find(caller);
    if (!exchange || !exchange->attempt || exchange->attempt->hasHead || exchange->rival)
        return;
    if (!tryTakeRetry(*exchange))
        return;
    logInfo(LogPart::Routing, "event=stalled request=", exchange->client.attemptId,
            " server=", exchange->attempt->placement.server,
            " predicted_ms=", exchange->attempt->placement.prediction.firstByteMs(),
            " waited_ms=", toMs(now() - exchange->attempt->sentAt));
    context.pool.onOutcome(exchange->attempt->placement.server, true);
    exchange->mayHaveRun = true;
    cancelAttempt(*exchange);
    dispatch(*exchange);
}

void DirectRouter::onConsumed(CallerId caller, std::size_t bytes)
{
    DirectExchange *exchange = impl_->find(caller);
    if (!exchange)
        return;
    exchange->unconsumedBytes -= std::min(exchange->unconsumedBytes, bytes);
    if (exchange->isPaused && exchange->unconsumedBytes <= impl_->maxUnconsumedBytes()
        && exchange->attempt) {
        exchange->isPaused = false;
        impl_->context.http.resume(exchange->attempt->transfer);
    }
}

} // namespace lovagecourse
