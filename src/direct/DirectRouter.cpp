#include "direct/DirectRouterImpl.h"

#include "core/Log.h"
#include "gateway/Problem.h"
#include "placing/Admission.h"
#include "placing/EngineMemory.h"
#include "placing/FairPlacement.h"
#include "placing/StopAcceptance.h"
#include "wire/ReportHash.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

namespace {

// Lets an answer that the server sends at the deadline arrive before the router sends a timeout.
constexpr milliseconds deadlineSlack{100};
// Longer than TCP needs to recover from packet loss, shorter than callers wait.
constexpr milliseconds tcpUserTimeout{2500};
// Backend servers close idle connections after a few seconds; a connection must not be reused near
// that time.
constexpr seconds maxIdleAge{2};
// Cost of an output token in prompt tokens: generating one takes about as long as the prefill of
// two.
constexpr double outputTokenCost = 2;
// An attempt has stalled when its first byte takes longer than stallFactor times the predicted
// time plus stallSlackMs.
constexpr double stallFactor = 3;
constexpr double stallSlackMs = 60;

// Retry-After of a router that can't accept requests; the caller's next attempt reaches another
// router.
constexpr milliseconds unavailableRetryAfter{50};

// Time over which callers return after a pause of all servers.
constexpr milliseconds minRetrySpread{200};
constexpr milliseconds maxRetrySpread{2000};

// Sent with a rejection by status 503: the caller retries on a new connection, and the old one
// would only use memory.
const HeaderList::value_type closeHeader{"connection", "close"};

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusTooLarge = 413;

std::string_view hostName(std::string_view host)
{
    return host.substr(0, std::min(host.find(':'), host.size()));
}

std::string retryAfterText(milliseconds delay)
{
    const std::int64_t millis = delay.count();
    const std::string fraction = std::to_string(1000 + millis % 1000).substr(1);
    return std::to_string(millis / 1000) + "." + fraction;
}

bool sendsTo(const Route &route, const ServiceId &service)
{
    return std::any_of(route.services.begin(), route.services.end(),
                       [&](const ServiceShare &share) {
                           return share.weight > 0 && share.service == service;
                       });
}

/// The client has the first events of the stream.
bool isTakeUp(const DirectExchange &exchange)
{
    return exchange.route->kind == RequestKind::ResumableStream
           && !(exchange.client.resumes.empty() && exchange.client.lastEventId.empty());
}

} // namespace

bool isRetryable(RequestKind kind)
{
    return kind == RequestKind::Safe || kind == RequestKind::ResumableStream;
}

std::vector<ServiceId> servicesOf(const DirectExchange &exchange)
{
    std::vector<ServiceId> services{exchange.service};
    for (const ServiceShare &share : exchange.route->services) {
        if (share.weight > 0 && share.service != exchange.service)
            services.push_back(share.service);
    }
    return services;
}

DirectExchange *DirectRouter::Impl::find(CallerId caller)
{
    const auto found = exchanges.find(caller);
    return found == exchanges.end() ? nullptr : found->second.get();
}

/// Returns the exchange with the attempt as its current one; null when the attempt has ended.
DirectExchange *DirectRouter::Impl::find(CallerId caller, AttemptKey key)
{
    DirectExchange *exchange = find(caller);
    if (!exchange)
        return nullptr;
    if (exchange->rival && exchange->rival->key == key)
        std::swap(exchange->attempt, exchange->rival);
    return exchange->attempt && exchange->attempt->key == key ? exchange : nullptr;
}

FleetRetryBudget &DirectRouter::Impl::budget(const ServiceId &service)
{
    return budgets.try_emplace(service, context.retryLimits).first->second;
}

/// Answers a request for which no exchange was created.
void DirectRouter::Impl::reject(CallerId caller, int status, RefusalReason reason)
{
    context.metrics.count("lovagecourse_refusals_total", toString(reason));
    HeaderList headers{{"content-type", problemMediaType}};
    if (status == statusUnavailable) {
        headers.emplace_back("retry-after", retryAfterText(unavailableRetryAfter));
        headers.push_back(closeHeader);
    }
    gateway->answer(caller, status, headers, makeProblemBody(Refusal{reason, Ran::No}));
}

void DirectRouter::Impl::receive(CallerRequest &&request)
{
    auto owned = std::make_unique<DirectExchange>();
    DirectExchange &exchange = *owned;
    exchange.caller = request.id;
    exchange.request = std::move(request);
    exchange.arrived = now();
    exchange.client = context.codec.decodeRequest(exchange.request.headers);
    exchange.configuration = configuration;
    if (!accept(exchange))
        return;
    exchanges.emplace(exchange.caller, std::move(owned));
    budget(exchange.service).onRequest(exchange.arrived);
    context.pool.limitParts().onRequest(reportHash(exchange.service.value), exchange.arrived);
    if (hedgeShare > 0)
        hedgesOf(exchange.service).budget.onRequest(exchange.arrived);
    if (isStreamKind(exchange.route->kind))
        context.shares.onRequested(exchange.accountHash, exchange.costTokens, exchange.arrived);
    const CallerId caller = exchange.caller;
    exchange.deadlineTimer =
            std::make_unique<Timer>(context.loop, [this, caller] { onDeadline(caller); });
    exchange.deadlineTimer->startOnce(
            std::max(exchange.deadline - exchange.arrived, std::chrono::nanoseconds(0)));
    if (isTakeUp(exchange))
        dispatchTakeUp(exchange);
    else
        dispatch(exchange);
}

/// Sends an attempt that takes up a stream to a server of the version that began it.
void DirectRouter::Impl::dispatchTakeUp(DirectExchange &exchange)
{
    const CallerId caller = exchange.caller;
    context.streams.decide(exchange.client.resumes, servicesOf(exchange),
                           [this, caller](const TakeUpDecision &decision) {
                               DirectExchange *found = find(caller);
                               if (!found)
                                   return;
                               if (decision.action == TakeUpAction::Refuse)
                                   return refuse(*found, "origin-unknown", defaultRetryAfter);
                               found->version = decision.version;
                               // Of a split route, another service may have been drawn.
                               const auto service = context.streams.serviceOf(decision.version);
                               if (service && sendsTo(*found->route, *service))
                                   found->service = *service;
                               dispatch(*found);
                           });
}

/// Finds the route and the account, selects the service and sets the deadline. Returns false after
/// it has rejected the request.
bool DirectRouter::Impl::accept(DirectExchange &exchange)
{
    const auto refused = [&](int status, RefusalReason reason, std::string_view text) {
        reject(exchange.caller, status, reason);
        logInfo(LogPart::Routing, "event=rejected request=", exchange.client.attemptId,
                " status=", status, " reason=", text,
                " configuration=", configuration ? configuration->version : 0);
        return false;
    };
    if (isDraining)
        return refused(statusUnavailable, RefusalReason::Draining, "leaving");
    if (!configuration)
        return refused(statusUnavailable, RefusalReason::NotReady, "no-configuration");
    exchange.route =
            selectRoute(*configuration, hostName(exchange.client.host), exchange.request.path);
    if (!exchange.route)
        return refused(statusNotFound, RefusalReason::UnknownService, "no-route");
    if (configuration->hasAccounts) {
        const auto account = configuration->accounts.find(exchange.client.key);
        if (account != configuration->accounts.end())
            exchange.account = account->second;
        else if (!exchange.route->isPublic)
            return refused(statusUnauthorized, RefusalReason::UnknownApiKey, "unknown-key");
    }
    const bool isTooLarge = configuration->maxBodyBytes > 0
                            && exchange.request.body.size() > configuration->maxBodyBytes;
    if (isTooLarge)
        return refused(statusTooLarge, RefusalReason::BodyTooLarge, "body-too-large");
    exchange.accountHash = reportHash(exchange.account.value);
    exchange.service = selectService(*exchange.route, drawShare());
    const std::string &model = exchange.client.model;
    exchange.prompt = makePrefixes(XXH64(model.data(), model.size(), 0), exchange.client.prompt);
    exchange.traits = sharedPartHashes(exchange.client.prompt);
    exchange.traits.push_back(wholeRequestTrait(exchange.account.value, exchange.request.method,
                                                exchange.request.path + exchange.request.query,
                                                exchange.request.body.str()));
    exchange.costTokens =
            exchange.client.promptTokens + outputTokenCost * exchange.client.maxOutputTokens;
    milliseconds limit = exchange.route->timeout;
    if (exchange.client.callerTimeout)
        limit = std::min(limit, *exchange.client.callerTimeout + deadlineSlack);
    const bool isLeavingTooSoon =
            exitAt
            && !isAcceptedBeforeExit(isStreamKind(exchange.route->kind), limit, *exitAt - now());
    if (isLeavingTooSoon)
        return refused(statusUnavailable, RefusalReason::Draining, "leaving-too-soon");
    exchange.waitedUnread = context.loop.delay();
    exchange.deadline = exchange.arrived - exchange.waitedUnread + limit;
    return true;
}

PlacementRequest DirectRouter::Impl::placementRequest(const DirectExchange &exchange) const
{
    PlacementRequest request;
    request.service = exchange.service;
    request.prompt = exchange.prompt;
    request.promptTokens = exchange.client.promptTokens;
    request.outputTokens = expectedOutputTokens(exchange.client.expectedOutputTokens,
                                                exchange.client.maxOutputTokens);
    request.objectiveMs = static_cast<double>(exchange.route->objective.count());
    request.excluded = exchange.triedServers;
    request.version = exchange.version;
    return request;
}

void DirectRouter::Impl::dispatch(DirectExchange &exchange)
{
    // In a busy process the caller's disconnect event may still be queued behind this request.
    if (gateway->hasCallerLeft(exchange.caller))
        return finish(exchange, "caller-left", 0, "left-before-send");
    if (now() >= exchange.deadline)
        return onDeadline(exchange.caller);
    if (rejectsTraits(exchange))
        return;
    auto placement = context.pool.choose(placementRequest(exchange), now());
    if (!placement) {
        if (exchange.mayHaveRun)
            return fail(exchange, statusBadGateway, "no-server-left");
        const auto withheld = context.pool.withheldFor(exchange.service, now());
        if (!withheld)
            return refuse(exchange, exchange.version ? "version-gone" : "no-server",
                          defaultRetryAfter);
        if (withheld->reason == Withheld::Evacuated)
            return refuse(exchange, "servers-evacuated", spreadRetryAfter(defaultRetryAfter));
        if (withheld->reason == Withheld::Warming)
            return refuse(exchange, "servers-warming", spreadRetryAfter(withheld->wait));
        return refuse(exchange,
                      withheld->reason == Withheld::Limited ? "servers-limited" : "servers-paused",
                      spreadRetryAfter(withheld->wait));
    }
    if (exchange.triedServers.empty() && !admit(exchange, *placement))
        return;
    send(exchange, std::move(*placement));
}

/// Returns when a caller may return after a pause of the servers, or when a limit leaves room.
/// Spread over a time as long as the pause, within limits, so that callers do not come back
/// together.
milliseconds DirectRouter::Impl::spreadRetryAfter(milliseconds pause)
{
    const milliseconds spread = std::clamp(pause, minRetrySpread, maxRetrySpread);
    return pause + std::chrono::duration_cast<milliseconds>(drawShare() * spread);
}

/// Returns a random number in [0, 1).
double DirectRouter::Impl::drawShare()
{
    constexpr double range = 18446744073709551616.;
    return static_cast<double>(random()) / range;
}

/// Decides whether the request is sent to the server or, if its account is far below its share, to
/// another one, which then replaces placement. Answers the request if it is refused.
bool DirectRouter::Impl::admit(DirectExchange &exchange, Placement &placement)
{
    AdmissionInput input;
    input.waitMs = placement.prediction.waitMs;
    input.meanWaitMs = placement.meanWaitMs;
    input.firstByteMs = placement.prediction.firstByteMs();
    input.objectiveMs = static_cast<double>(exchange.route->objective.count());
    input.remainingMs = toMs(exchange.deadline - now());
    input.fairShareRatio = context.shares.fairShareRatio(exchange.accountHash, now());
    // Shares count streamed requests only.
    if (isStreamKind(exchange.route->kind))
        input.deprivation = context.shares.deprivation(now());
    const RequestPriority priority{accountPriority(*exchange.configuration, exchange.account),
                                   exchange.route->priority};
    input.urgency = urgencyRanks[exchange.service].onRequest(priority, now());
    KindShares &kinds = kindShares[exchange.service];
    const KindRequest kindRequest{priority, exchange.route->name, input.objectiveMs,
                                  exchange.client.promptTokens};
    input.kindFactor = kinds.factor(kindRequest, now());
    if (input.kindFactor != 1)
        context.metrics.count("lovagecourse_kind_balance_total",
                              input.kindFactor > 1 ? "raised" : "lowered");
    exchange.candidateCount = placement.candidateCount;
    exchange.admissionInput = input;
    AdmissionDecision decision = decideAdmission(input);
    if (std::holds_alternative<AdmissionRefused>(decision) && placeAgain(exchange, placement))
        decision = Admitted{};
    const auto *refused = std::get_if<AdmissionRefused>(&decision);
    kinds.onDecision(kindRequest, !refused, now());
    ReturnPromises &promises = returns[exchange.service];
    if (promises.takeReturn(exchange.accountHash, now()))
        context.metrics.count("lovagecourse_returns_total", refused ? "refused" : "admitted");
    if (refused) {
        exchange.retryAfter = refused->retryAfter;
        exchange.exceededLimit = refused->limit;
        promises.onRejected(exchange.accountHash, exchange.retryAfter, now());
        exchange.predictedMs = input.firstByteMs;
        refuse(exchange, "overload", exchange.retryAfter);
        return false;
    }
    if (isStreamKind(exchange.route->kind))
        context.shares.onAdmitted(exchange.accountHash, exchange.costTokens, now());
    return true;
}

/// Replaces the placement of a refused request, whose account is far below its share, by the
/// fastest one. Returns false if the request is not admitted there either.
bool DirectRouter::Impl::placeAgain(DirectExchange &exchange, Placement &placement)
{
    // Shares count streamed requests only.
    if (!isStreamKind(exchange.route->kind)
        || !allowsSecondChoice(exchange.admissionInput.fairShareRatio))
        return false;
    PlacementRequest request = placementRequest(exchange);
    request.isSecondChoice = true;
    auto second = context.pool.choose(request, now());
    AdmissionInput input = exchange.admissionInput;
    if (second) {
        input.waitMs = second->prediction.waitMs;
        input.firstByteMs = second->prediction.firstByteMs();
    }
    const bool isAdmitted = second && std::holds_alternative<Admitted>(decideAdmission(input));
    context.metrics.count("lovagecourse_second_choices_total", isAdmitted ? "admitted" : "refused");
    if (!isAdmitted)
        return false;
    exchange.admissionInput = input;
    exchange.isSecondChoice = true;
    placement = std::move(*second);
    return true;
}

void DirectRouter::Impl::send(DirectExchange &exchange, Placement placement)
{
    const TimePoint current = now();
    auto attempt = std::make_unique<DirectAttempt>();
    attempt->key = AttemptKey(++exchange.lastAttemptKey);
    attempt->isHedge = exchange.rival != nullptr;
    attempt->placement = std::move(placement);
    attempt->sentAt = current;
    attempt->serverRun = context.pool.runOf(attempt->placement.server);
    attempt->loopDelayAtSend = context.loop.delay();
    attempt->number = context.pool.onSent(attempt->placement, exchange.prompt, current);
    exchange.triedServers.insert(attempt->placement.server);
    ++exchange.sendCount;

    ServerRequest server;
    server.account = exchange.account;
    server.expectedServer = attempt->placement.server;
    // The router ends a stream later by the time that its request waited unread; see onDeadline().
    const auto moved = isStreamKind(exchange.route->kind) ? exchange.waitedUnread
                                                          : std::chrono::nanoseconds(0);
    const auto remaining =
            std::chrono::duration_cast<milliseconds>(exchange.deadline + moved - current);
    server.remainingTime = std::max(remaining, milliseconds(1));
    if (exchange.client.callerTimeout) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(
                current - exchange.arrived + exchange.waitedUnread - moved);
        server.remainingTime = std::clamp(*exchange.client.callerTimeout - elapsed, milliseconds(1),
                                          server.remainingTime);
    }
    server.resumeAfter = exchange.events.lastId();
    if (exchange.isStreaming)
        exchange.events.resume();

    HttpRequest request;
    request.method = exchange.request.method;
    request.url = "http://" + toString(attempt->placement.address) + "/";
    request.target = exchange.request.path + exchange.request.query;
    request.headers = context.codec.encodeRequest(exchange.client, server);
    request.body = exchange.request.body;
    request.connectTimeout = std::min(connectTimeout, server.remainingTime);
    request.sendBodyOnce = true;
    request.freshConnection = request.body.empty();
    request.onlyGivenHeaders = true;
    request.tcpUserTimeout = tcpUserTimeout;
    request.maxIdleAge = maxIdleAge;

    logInfo(LogPart::Routing, "event=sent request=", exchange.client.attemptId,
            " route=", exchange.route->name, " account=", exchange.account,
            " configuration=", exchange.configuration->version,
            " server=", attempt->placement.server, " version=", attempt->placement.version,
            " send=", exchange.sendCount, " resumes=", exchange.client.resumes, " after=",
            server.resumeAfter.empty() ? exchange.client.lastEventId : server.resumeAfter,
            " wait_ms=", attempt->placement.prediction.waitMs,
            " read_ms=", attempt->placement.prediction.prefillMs,
            " base_ms=", attempt->placement.prediction.baseMs,
            " unread_tokens=", attempt->placement.uncachedTokens,
            " prompt_tokens=", exchange.client.promptTokens,
            " prompt=", exchange.prompt.empty() ? 0 : exchange.prompt.front().hash,
            " local=", attempt->placement.prediction.isLocal,
            " second_choice=", exchange.isSecondChoice && exchange.sendCount == 1,
            " list_age_ms=", toMs(attempt->placement.listAge));
    const CallerId caller = exchange.caller;
    const AttemptKey key = attempt->key;
    HttpClient::Handlers handlers;
    handlers.onConnected = [this, caller, key] { return onConnected(caller, key); };
    // A copy of an answer without an id could not be told from the answer to the next request.
    handlers.mayReuseConnection = [this](const HeaderList &headers) {
        return context.codec.namesAttempt(headers);
    };
    handlers.onHead = [this, caller, key](const HttpHead &head) { onHead(caller, key, head); };
    handlers.onData = [this, caller, key](std::string_view bytes) { onData(caller, key, bytes); };
    handlers.onDone = [this, caller, key](const std::optional<HttpFailure> &failure) {
        onDone(caller, key, failure);
    };
    exchange.predictedMs = attempt->placement.prediction.firstByteMs();
    attempt->lastHeardAt = attempt->sentAt;
    exchange.attempt = std::move(attempt);
    exchange.attempt->transfer = context.http.start(std::move(request), std::move(handlers));
    if (exchange.attempt->isHedge)
        return;
    armStallTimer(exchange);
    armHedgeTimer(exchange);
}

/// Starts the timer that retries a retryable request at another server when its answer does not
/// begin in time.
void DirectRouter::Impl::armStallTimer(DirectExchange &exchange)
{
    if (!isRetryable(exchange.route->kind) || exchange.sendCount >= exchange.route->maxServers)
        return;
    const double expectedMs = exchange.attempt->placement.prediction.firstByteMs();
    const double stallMs = stallFactor * expectedMs + stallSlackMs;
    const CallerId caller = exchange.caller;
    exchange.stallTimer =
            std::make_unique<Timer>(context.loop, [this, caller] { onStalled(caller); });
    exchange.stallTimer->startOnce(milliseconds(static_cast<std::int64_t>(stallMs)));
}

/// Takes one retry from the service's budget if the server count and the deadline allow one.
bool DirectRouter::Impl::tryTakeRetry(DirectExchange &exchange)
{
    const TimePoint current = now();
    if (exchange.sendCount >= exchange.route->maxServers || current >= exchange.deadline)
        return false;
    if (budget(exchange.service).tryTake(context.routerCount(), current))
        return true;
    context.metrics.count("lovagecourse_repeats_denied_total");
    return false;
}

/// Refuses a request that no server has started and none will start.
void DirectRouter::Impl::refuse(DirectExchange &exchange, std::string_view reason,
                                milliseconds retryAfter)
{
    context.metrics.count("lovagecourse_refusals_total", reason);
    const bool isServiceShort =
            reason == "overload" || reason == "no-server" || reason.starts_with("servers-");
    if (isServiceShort)
        onServiceRejected(exchange.service);
    gateway->answer(
            exchange.caller, statusUnavailable,
            {{"content-type", problemMediaType}, {"retry-after", retryAfterText(retryAfter)}},
            makeProblemBody(Refusal{RefusalReason::NoServer, Ran::No}));
    finish(exchange, "refused", statusUnavailable, reason);
}

/// Ends a request that a server may have run: aborts a started stream, else sends the error answer
/// of an earlier attempt or the status.
void DirectRouter::Impl::fail(DirectExchange &exchange, int status, std::string_view reason)
{
    context.metrics.count("lovagecourse_failures_total", reason);
    if (exchange.isStreaming) {
        gateway->abortStream(exchange.caller);
        return finish(exchange, "broken-off", status, reason);
    }
    const bool isAnswerTrue =
            exchange.failedAnswer
            && !(exchange.mayHaveRun && promisesNotRun(exchange.failedAnswer->status));
    if (isAnswerTrue)
        return deliver(exchange, *exchange.failedAnswer);
    gateway->answer(exchange.caller, status, {{"content-type", problemMediaType}},
                    makeProblemBody(Refusal{RefusalReason::ServerLost, Ran::Unknown}));
    finish(exchange, "failed", status, reason);
}

/// Counts and logs the outcome and deletes the exchange.
void DirectRouter::Impl::finish(DirectExchange &exchange, std::string_view outcome, int status,
                                std::string_view reason)
{
    context.metrics.count("lovagecourse_requests_total", outcome);
    context.metrics.latency("lovagecourse_request_seconds", now() - exchange.arrived);
    if (exchange.openHedge)
        endHedge(exchange, "unanswered", 0);
    const AdmissionInput &admissionInput = exchange.admissionInput;
    logInfo(LogPart::Routing, "event=", outcome, " request=", exchange.client.attemptId,
            " status=", status, " reason=", reason, " sends=", exchange.sendCount,
            " route=", exchange.route->name, " account=", exchange.account,
            " configuration=", exchange.configuration->version, " tokens=", exchange.costTokens,
            " exceeded=", exchange.exceededLimit ? toString(*exchange.exceededLimit) : "none",
            " standing=", admissionInput.fairShareRatio,
            " deprivation=", admissionInput.deprivation, " urgency=", admissionInput.urgency,
            " kind_factor=", admissionInput.kindFactor, " wait_ms=", admissionInput.waitMs,
            " mean_wait_ms=", admissionInput.meanWaitMs,
            " objective_ms=", admissionInput.objectiveMs, " servers=", exchange.candidateCount,
            " retry_after_ms=", exchange.retryAfter.count(), " predicted_ms=", exchange.predictedMs,
            " first_byte_ms=", exchange.firstByteMs, " list_age_ms=", exchange.listAgeMs,
            " send_delay_ms=", exchange.sendDelayMs, " took_ms=", toMs(now() - exchange.arrived));
    exchanges.erase(exchange.caller);
}

DirectRouter::DirectRouter(DirectContext context)
    : impl_(std::make_unique<Impl>(std::move(context)))
{}

DirectRouter::~DirectRouter() = default;

void DirectRouter::setGateway(HttpGateway &gateway)
{
    impl_->gateway = &gateway;
}

void DirectRouter::setConfiguration(std::shared_ptr<const DirectConfiguration> configuration)
{
    impl_->configuration = std::move(configuration);
}

void DirectRouter::setRetryLimits(const RetryLimits &limits)
{
    impl_->context.retryLimits = limits;
    for (auto &[service, budget] : impl_->budgets)
        budget.setLimits(limits);
}

void DirectRouter::setHedgeShare(double share)
{
    impl_->setHedgeShare(share);
}

void DirectRouter::onRequest(CallerRequest &&request)
{
    impl_->receive(std::move(request));
}

void DirectRouter::onCallerLeft(CallerId caller)
{
    DirectExchange *exchange = impl_->find(caller);
    if (!exchange)
        return;
    impl_->cancelAttempts(*exchange);
    impl_->finish(*exchange, "caller-left", 0, "caller-left");
}

void DirectRouter::setExitTime(TimePoint exit)
{
    impl_->exitAt = exit;
}

void DirectRouter::endOpenRequests()
{
    std::vector<CallerId> callers;
    callers.reserve(impl_->exchanges.size());
    for (const auto &[caller, exchange] : impl_->exchanges)
        callers.push_back(caller);
    for (const CallerId caller : callers) {
        DirectExchange *exchange = impl_->find(caller);
        if (!exchange)
            continue;
        exchange->mayHaveRun = exchange->mayHaveRun || exchange->attempt;
        impl_->cancelAttempts(*exchange);
        if (exchange->mayHaveRun)
            impl_->fail(*exchange, statusBadGateway, "stopping");
        else
            impl_->refuse(*exchange, "stopping", defaultRetryAfter);
    }
}

void DirectRouter::refuseNewRequests()
{
    impl_->isDraining = true;
}

std::size_t DirectRouter::openRequests() const
{
    return impl_->exchanges.size();
}

} // namespace lovagecourse
