#include "direct/DirectRouterImpl.h"

#include "core/Log.h"
#include "gateway/Problem.h"
#include "placing/Admission.h"

#include <xxhash.h>

#include <algorithm>
#include <random>
#include <unordered_map>

namespace lovagecourse {

namespace {

// Time for the server's own answer at the deadline to arrive before this process gives one.
constexpr milliseconds deadlineSlack{100};
// A host in the same region accepts within milliseconds; this covers one lost packet's repeat.
constexpr milliseconds connectTimeout{300};
// Longer than a path recovers from lost packets, shorter than callers wait.
constexpr milliseconds unacknowledgedLimit{2500};
// Backend servers close idle connections after some seconds; a reused one must not be near that.
constexpr seconds maxIdleAge{2};
// Generated tokens count twice: a generation step costs about two tokens' reading.
constexpr double outputTokenCost = 2;
// A first byte later than this many usual times, and the slack, stalls.
constexpr double stallFactor = 3;
constexpr double stallSlackMs = 60;

// Retry-After of a router that can't take requests now; the caller's next try reaches another one.
constexpr milliseconds elsewhereRetry{50};

// A refused caller comes back on a new connection, so its old one would only hold memory.
const HeaderList::value_type closeHeader{"connection", "close"};

constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusTooLarge = 413;

std::string_view hostName(std::string_view host)
{
    return host.substr(0, std::min(host.find(':'), host.size()));
}

bool isStreamKind(RequestKind kind)
{
    return kind == RequestKind::Stream || kind == RequestKind::ResumableStream;
}

bool isRepeatable(RequestKind kind)
{
    return kind == RequestKind::Safe || kind == RequestKind::ResumableStream;
}

std::string retryAfterText(milliseconds delay)
{
    const std::int64_t millis = delay.count();
    const std::string fraction = std::to_string(1000 + millis % 1000).substr(1);
    return std::to_string(millis / 1000) + "." + fraction;
}

} // namespace

DirectExchange *DirectRouter::Impl::find(CallerId caller)
{
    const auto found = exchanges.find(caller);
    return found == exchanges.end() ? nullptr : found->second.get();
}

FleetRetryBudget &DirectRouter::Impl::budget(const ServiceId &service)
{
    return budgets.try_emplace(service, context.repeatLimits).first->second;
}

void DirectRouter::Impl::reject(CallerId caller, int status, RefusalReason reason)
{
    context.metrics.count("lovagecourse_refusals_total", toString(reason));
    HeaderList headers{{"content-type", problemMediaType}};
    if (status == statusUnavailable) {
        headers.emplace_back("retry-after", retryAfterText(elsewhereRetry));
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
    if (isStreamKind(exchange.route->kind))
        context.shares.onRequested(exchange.accountHash, exchange.costTokens, exchange.arrived);
    const CallerId caller = exchange.caller;
    exchange.deadlineTimer =
            std::make_unique<Timer>(context.loop, [this, caller] { onDeadline(caller); });
    exchange.deadlineTimer->startOnce(exchange.deadline - exchange.arrived);
    dispatch(exchange);
}

/// Finds route and account; answers the caller itself when there is none.
bool DirectRouter::Impl::accept(DirectExchange &exchange)
{
    const auto refused = [&](int status, RefusalReason reason, std::string_view text) {
        reject(exchange.caller, status, reason);
        logInfo(LogPart::Routing, "event=rejected request=", exchange.client.attemptId,
                " status=", status, " reason=", text,
                " configuration=", configuration ? configuration->version : 0);
        return false;
    };
    if (isLeaving)
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
            return refused(statusUnauthorized, RefusalReason::UnknownKey, "unknown-key");
    }
    const bool isTooLarge = configuration->maxBodyBytes > 0
                            && exchange.request.body.size() > configuration->maxBodyBytes;
    if (isTooLarge)
        return refused(statusTooLarge, RefusalReason::BodyTooLarge, "body-too-large");
    exchange.accountHash = reportHash(exchange.account.value);
    constexpr double range = 18446744073709551616.;
    exchange.service = selectService(*exchange.route, static_cast<double>(random()) / range);
    const std::string &model = exchange.client.model;
    exchange.prompt = makePrefixes(XXH64(model.data(), model.size(), 0), exchange.client.prompt);
    exchange.costTokens =
            exchange.client.promptTokens + outputTokenCost * exchange.client.maxOutputTokens;
    milliseconds limit = exchange.route->timeout;
    if (exchange.client.patience)
        limit = std::min(limit, *exchange.client.patience + deadlineSlack);
    exchange.deadline = exchange.arrived + limit;
    return true;
}

PlacementRequest DirectRouter::Impl::placementRequest(const DirectExchange &exchange) const
{
    PlacementRequest request;
    request.service = exchange.service;
    request.prompt = exchange.prompt;
    request.promptTokens = exchange.client.promptTokens;
    request.objectiveMs = static_cast<double>(exchange.route->objective.count());
    request.excluded = exchange.tried;
    return request;
}

void DirectRouter::Impl::dispatch(DirectExchange &exchange)
{
    // In a busy process the news of a caller that left waits behind this request.
    if (gateway->hasLeft(exchange.caller))
        return finish(exchange, "caller-left", 0, "left-before-send");
    auto placement = context.pool.choose(placementRequest(exchange), now());
    if (!placement) {
        if (exchange.mayHaveRun)
            return fail(exchange, statusBadGateway, "no-server-left");
        return refuse(exchange, "no-server", unknownRetry);
    }
    if (exchange.tried.empty() && !admit(exchange, *placement))
        return;
    send(exchange, std::move(*placement));
}

bool DirectRouter::Impl::admit(DirectExchange &exchange, const Placement &placement)
{
    AdmissionInput input;
    input.waitMs = placement.prediction.waitMs;
    input.meanWaitMs = placement.meanWaitMs;
    input.firstByteMs = placement.prediction.firstByteMs();
    input.objectiveMs = static_cast<double>(exchange.route->objective.count());
    input.remainingMs = toMs(exchange.deadline - now());
    input.fairShareRatio = context.shares.fairShareRatio(exchange.accountHash, now());
    exchange.candidates = placement.candidates;
    exchange.decision = input;
    const AdmissionVerdict verdict = decideAdmission(input);
    if (const auto *refused = std::get_if<AdmissionRefused>(&verdict)) {
        exchange.predictedMs = input.firstByteMs;
        refuse(exchange, "overload", refused->retryAfter);
        return false;
    }
    if (isStreamKind(exchange.route->kind))
        context.shares.onServed(exchange.accountHash, exchange.costTokens, now());
    return true;
}

void DirectRouter::Impl::send(DirectExchange &exchange, Placement placement)
{
    const TimePoint current = now();
    auto attempt = std::make_unique<DirectAttempt>();
    attempt->placement = std::move(placement);
    attempt->sentAt = current;
    attempt->sendDelay = context.loop.delay();
    attempt->number = context.pool.onSent(attempt->placement, exchange.prompt, current);
    exchange.tried.insert(attempt->placement.server);
    ++exchange.sends;

    ServerRequest server;
    server.account = exchange.account;
    server.expectedServer = attempt->placement.server;
    const auto left = std::chrono::duration_cast<milliseconds>(exchange.deadline - current);
    server.timeLeft = std::max(left, milliseconds(1));
    if (exchange.client.patience) {
        const auto used = std::chrono::duration_cast<milliseconds>(current - exchange.arrived);
        server.timeLeft =
                std::clamp(*exchange.client.patience - used, milliseconds(1), server.timeLeft);
    }
    server.resumeAfter = exchange.lastEventId;

    HttpRequest request;
    request.method = exchange.request.method;
    request.url = "http://" + toString(attempt->placement.address) + "/";
    request.target = exchange.request.path + exchange.request.query;
    request.headers = context.codec.encodeRequest(exchange.client, server);
    request.body = exchange.request.body;
    request.connectTimeout = std::min(connectTimeout, server.timeLeft);
    request.sendBodyOnce = true;
    request.freshConnection = request.body.empty();
    request.onlyGivenHeaders = true;
    request.unacknowledgedLimit = unacknowledgedLimit;
    request.maxIdleAge = maxIdleAge;

    logInfo(LogPart::Routing, "event=sent request=", exchange.client.attemptId,
            " route=", exchange.route->name, " account=", exchange.account,
            " configuration=", exchange.configuration->version,
            " server=", attempt->placement.server, " send=", exchange.sends,
            " wait_ms=", attempt->placement.prediction.waitMs,
            " read_ms=", attempt->placement.prediction.prefillMs,
            " base_ms=", attempt->placement.prediction.baseMs,
            " unread_tokens=", attempt->placement.uncachedTokens,
            " prompt_tokens=", exchange.client.promptTokens,
            " prompt=", exchange.prompt.empty() ? 0 : exchange.prompt.front().hash,
            " local=", attempt->placement.prediction.isLocal);
    const CallerId caller = exchange.caller;
    HttpClient::Handlers handlers;
    handlers.onHead = [this, caller](int status, const HeaderList &headers) {
        onHead(caller, status, headers);
    };
    handlers.onData = [this, caller](std::string_view bytes) { onData(caller, bytes); };
    handlers.onDone = [this, caller](const std::optional<HttpFailure> &failure) {
        onDone(caller, failure);
    };
    exchange.predictedMs = attempt->placement.prediction.firstByteMs();
    exchange.attempt = std::move(attempt);
    exchange.attempt->transfer = context.http.start(std::move(request), std::move(handlers));
    armStallTimer(exchange);
}

/// A repeatable request whose answer does not begin is sent to another server.
void DirectRouter::Impl::armStallTimer(DirectExchange &exchange)
{
    if (!isRepeatable(exchange.route->kind) || exchange.sends >= exchange.route->maxServers)
        return;
    const double usualMs = exchange.attempt->placement.prediction.firstByteMs();
    const double stallMs = stallFactor * usualMs + stallSlackMs;
    const CallerId caller = exchange.caller;
    exchange.stallTimer =
            std::make_unique<Timer>(context.loop, [this, caller] { onStalled(caller); });
    exchange.stallTimer->startOnce(milliseconds(static_cast<std::int64_t>(stallMs)));
}

bool DirectRouter::Impl::mayRepeat(DirectExchange &exchange)
{
    const TimePoint current = now();
    if (exchange.sends >= exchange.route->maxServers || current >= exchange.deadline)
        return false;
    if (budget(exchange.service).tryTake(context.routerCount(), current))
        return true;
    context.metrics.count("lovagecourse_repeats_denied_total");
    return false;
}

/// Only for requests that no server has begun and none will begin.
void DirectRouter::Impl::refuse(DirectExchange &exchange, std::string_view reason,
                                milliseconds retryAfter)
{
    context.metrics.count("lovagecourse_refusals_total", reason);
    gateway->answer(
            exchange.caller, statusUnavailable,
            {{"content-type", problemMediaType}, {"retry-after", retryAfterText(retryAfter)}},
            makeProblemBody(Refusal{RefusalReason::NoServer, Ran::No}));
    finish(exchange, "refused", statusUnavailable, reason);
}

void DirectRouter::Impl::fail(DirectExchange &exchange, int status, std::string_view reason)
{
    context.metrics.count("lovagecourse_failures_total", reason);
    if (exchange.isStreaming) {
        gateway->abortStream(exchange.caller);
        return finish(exchange, "broken-off", status, reason);
    }
    if (exchange.failedAnswer)
        return deliver(exchange, *exchange.failedAnswer);
    gateway->answer(exchange.caller, status, {{"content-type", problemMediaType}},
                    makeProblemBody(Refusal{RefusalReason::ServerLost, Ran::Unknown}));
    finish(exchange, "failed", status, reason);
}

void DirectRouter::Impl::finish(DirectExchange &exchange, std::string_view outcome, int status,
                                std::string_view reason)
{
    context.metrics.count("lovagecourse_requests_total", outcome);
    context.metrics.latency("lovagecourse_request_seconds", now() - exchange.arrived);
    const AdmissionInput &decision = exchange.decision;
    logInfo(LogPart::Routing, "event=", outcome, " request=", exchange.client.attemptId,
            " status=", status, " reason=", reason, " sends=", exchange.sends,
            " route=", exchange.route->name, " account=", exchange.account,
            " configuration=", exchange.configuration->version,
            " standing=", decision.fairShareRatio, " wait_ms=", decision.waitMs,
            " mean_wait_ms=", decision.meanWaitMs, " objective_ms=", decision.objectiveMs,
            " servers=", exchange.candidates, " predicted_ms=", exchange.predictedMs,
            " first_byte_ms=", exchange.firstByteMs, " took_ms=", toMs(now() - exchange.arrived));
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

void DirectRouter::setRepeatLimits(const RetryLimits &limits)
{
    impl_->context.repeatLimits = limits;
    for (auto &[service, budget] : impl_->budgets)
        budget.setLimits(limits);
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
    impl_->cancelAttempt(*exchange);
    impl_->finish(*exchange, "caller-left", 0, "caller-left");
}

void DirectRouter::refuseNewRequests()
{
    impl_->isLeaving = true;
}

std::size_t DirectRouter::openRequests() const
{
    return impl_->exchanges.size();
}

} // namespace lovagecourse
