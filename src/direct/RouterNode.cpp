#include "direct/RouterNode.h"

#include "core/Log.h"
#include "direct/RouterNodeImpl.h"
#include "gateway/DescriptorReserve.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace lovagecourse {

namespace {

constexpr double permille = 1000;
constexpr milliseconds tickInterval{50};
constexpr seconds settingsInterval{2};
// Mean event loop delay above which the process is overloaded. Stream events are delayed by as
// much, which is near the forwarding delay that platforms allow. Half of it is normal under load.
constexpr double overloadLoopDelayMs = 100;
constexpr double overloadEndLoopDelayMs = 25;
// Caps the delay of one tick in the mean, so that a process that was suspended does not stay
// overloaded for long.
constexpr double maxCountedLoopDelayMs = 500;
// Weight of one tick in the moving average, which covers about ten ticks or half a second.
constexpr double loopDelayWeight = 0.1;
// A process with a lower busy share is not late because of its load.
constexpr double minCountedBusyShare = 0.6;
// Callers wait this long, about a tenth of a latency objective, when answers of the store take more
// time in one tick; such ticks are logged.
constexpr double longStoreWorkMs = 40;
// Weight of one tick in the mean busy share.
constexpr double busyShareWeight = 0.2;
// Events are collected for longer, the busier the process is, up to a small part of the forwarding
// delay that platforms allow.
constexpr double collectFromBusyShare = 0.3;
constexpr double collectFullBusyShare = 0.8;
constexpr std::chrono::microseconds maxCollectInterval{6000};
// Interval of log lines with the servers' estimated state, by which routing decisions can be
// explained afterwards.
constexpr seconds stateLogInterval{5};
// Used until a configuration sets the limit.
constexpr std::size_t gatewayBodyBytes = 4U << 20;
// Each connection keeps a buffer of about three times this size.
constexpr std::size_t gatewayHeaderBytes = 16U << 10;
// Part of maxMemoryMb that callers' connections may take; the rest is for connections to backend
// servers and for the router's own state.
constexpr std::size_t callerMemoryPercent = 50;
// Connections are closed after each answer when more than this part of the maximum is open.
constexpr unsigned keepAlivePercent = 50;
// Memory of one connection: the gateway's buffers and a typical prompt that is being received or
// forwarded.
constexpr std::size_t callerConnectionBytes = 64U << 10;
constexpr std::size_t bytesPerMb = 1U << 20;
// Used until a configuration sets the timeout.
constexpr seconds gatewayIdleTimeout{30};
// The process exits this long before the platform would kill it.
constexpr milliseconds exitMargin{400};
// Open requests are ended this long before the exit, so that their callers get the answers.
constexpr milliseconds lastAnswersTime{150};
// New requests are refused at the latest when this part of the time for the shutdown has passed.
constexpr double acceptingShare = 0.5;
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

std::chrono::nanoseconds collectInterval(double busyShare)
{
    const double part =
            (busyShare - collectFromBusyShare) / (collectFullBusyShare - collectFromBusyShare);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(maxCollectInterval
                                                                * std::clamp(part, 0., 1.));
}

Hello makeHello(const RouterSettings &settings, const Clock &clock)
{
    Hello hello;
    hello.daemon = settings.name;
    hello.role = DaemonRole::Entry;
    hello.incarnation = Incarnation(toEpochMilliseconds(clock.wallNow()) * 1000);
    hello.dataCentre = settings.dataCentre;
    hello.datagramEndpoint = settings.datagrams;
    return hello;
}

} // namespace

RouterNode::Impl::Impl(EventLoop &eventLoop, const Clock &nodeClock, RouterSettings nodeSettings,
                       PlatformBinding nodePlatform)
    : loop(eventLoop)
    , clock(nodeClock)
    , settings(std::move(nodeSettings))
    , platform(std::move(nodePlatform))
    , memory(memoryLimits(settings.maxMemoryMb))
    , fleetKey(settings.fleetKey)
    , wire{loop, clock, metrics, fleetKey, makeHello(settings, clock)}
    , http(loop, EventPriority::Normal, &memory)
    , storeHttp(loop, EventPriority::High)
    , pool(settings.dataCentre)
    , peers(settings.name, settings.dataCentre, settings.processorPermille)
    , registry(loop, settings.name, RouterRecord{settings.datagrams, settings.dataCentre},
               registryHandlers())
    , streams(loop, clock, metrics, settings.name, [this] { return peers.liveCount(clock.now()); })
    , router(std::make_unique<DirectRouter>(routerContext()))
    , configurationAnnouncement(loop, [this] { announceConfiguration(); })
    , intake(settings.processorPermille / permille)
    , tickTimer(loop, [this] { onTick(); })
    , fullReportTimer(loop, [this] { sendFullReport(); })
    , incrementalReportTimer(loop, [this] { sendIncrementalReport(); })
    , relayFullTimer(loop, [this] { sendFullRelayReport(); })
    , relayTimer(loop, [this] { sendIncrementalRelayReport(); })
    , presenceTimer(loop, [this] { sendPresence(); })
    , traitReportTimer(loop, [this] { sendTraitReport(); })
    , stateLogTimer(loop, [this] { logState(); })
    , onTerm(loop, SIGTERM, [this] { onTerminate(); })
    , onInterrupt(loop, SIGINT, [this] { onTerminate(); })
    , onHangUp(loop, SIGHUP, [this] { reloadSettings(); })
    , settingsTimer(loop, [this] { reloadSettings(); })
{}

DirectContext RouterNode::Impl::routerContext()
{
    return DirectContext{loop,
                         clock,
                         metrics,
                         http,
                         *platform.requests,
                         pool,
                         shares,
                         retryLimits(),
                         [this] { return peers.liveCount(clock.now()); },
                         crashTraits,
                         [this](const TraitCrash &crash) { onTraitCrash(crash); },
                         [this](TraitHash trait) { onTraitCleared(trait); },
                         streams,
                         &memory};
}

HttpGateway::Handlers RouterNode::Impl::gatewayHandlers()
{
    HttpGateway::Handlers handlers;
    handlers.onRequest = [this](CallerRequest &&request) { onRequest(std::move(request)); };
    handlers.onCallerLeft = [this](CallerId caller) { router->onCallerLeft(caller); };
    handlers.onConsumed = [this](CallerId caller, std::size_t bytes) {
        router->onConsumed(caller, bytes);
    };
    return handlers;
}

std::optional<SocketFailure> RouterNode::Impl::openSockets()
{
    auto socket = DatagramSocket::open(wire, settings.datagrams,
                                       [this](const DaemonId &sender, Message &&message) {
                                           onDatagram(sender, std::move(message));
                                       });
    if (const auto *failure = std::get_if<SocketFailure>(&socket))
        return *failure;
    datagramSocket = std::move(std::get<0>(socket));

    GatewayLimits limits;
    limits.maxBodyBytes = gatewayBodyBytes;
    limits.maxHeaderBytes = gatewayHeaderBytes;
    limits.idleTimeout = gatewayIdleTimeout;
    limits.dropHalfClosed = true;
    limits.memory = &memory;
    limits.addressMemoryPercent = settings.addressMemoryPercent;
    const auto bySockets = static_cast<unsigned>(callerDescriptors(
            std::min<std::size_t>(settings.maxSockets, processDescriptorLimit())));
    const auto byMemory = static_cast<unsigned>(settings.maxMemoryMb * callerMemoryPercent / 100
                                                * bytesPerMb / callerConnectionBytes);
    limits.maxConnections = std::min(bySockets, byMemory);
    limits.maxKeepAliveConnections = limits.maxConnections * keepAlivePercent / 100;
    auto opened = HttpGateway::open(loop, metrics, settings.callers, limits, gatewayHandlers());
    if (const auto *failure = std::get_if<SocketFailure>(&opened))
        return *failure;
    gateway = std::move(std::get<0>(opened));
    router->setGateway(*gateway);

    const auto openAdmin = [this](const Endpoint &endpoint, std::unique_ptr<HttpGateway> &target) {
        HttpGateway::Handlers handlers;
        handlers.onRequest = [this, &target](CallerRequest &&request) {
            answerAdmin(*target, request);
        };
        handlers.onCallerLeft = [](CallerId) {};
        handlers.onConsumed = [](CallerId, std::size_t) {};
        auto admin = HttpGateway::open(loop, metrics, endpoint, GatewayLimits{}, handlers);
        if (const auto *failure = std::get_if<SocketFailure>(&admin))
            return std::optional<SocketFailure>(*failure);
        target = std::move(std::get<0>(admin));
        return std::optional<SocketFailure>();
    };
    if (const auto failure = openAdmin(settings.ready, readyGateway))
        return failure;
    return openAdmin(settings.admin, adminGateway);
}

void RouterNode::Impl::start()
{
    logInfo(LogPart::App, "event=started data_centre=", settings.dataCentre,
            " callers=", toString(settings.callers), " platform=", settings.platformUrl);
    directory.setRenewalInterval(settings.renewalInterval);
    pool.setMaxPause(settings.maxPause);
    router->setHedgeShare(settings.hedgeShare);
    streams.setServersReader([this](std::function<void(bool)> onRead) {
        serversFollower->readNow(std::move(onRead));
    });
    restartFollowers();
    registry.start(*store);
    streams.onStarted();
    readServerHistory(StorePosition(), 1);
    startedAt = clock.now();
    lastTick = startedAt;
    tickTimer.startRepeating(tickInterval);
    fullReportTimer.startOnce(fullReportInterval);
    stateLogTimer.startRepeating(stateLogInterval);
    settingsTimer.startRepeating(settingsInterval);
    pool.updateLimitParts(limitCounts(), startedAt);
}

/// Applies the settings that can change while the process runs. Called on SIGHUP and at an
/// interval, because the file may change without a signal.
void RouterNode::Impl::reloadSettings()
{
    const RouterSettingsResult read = readRouterSettings(settings.file);
    if (const auto *faults = std::get_if<std::vector<SettingsFault>>(&read)) {
        // The read may coincide with the file's replacement; the previous settings are kept.
        metrics.count("lovagecourse_settings_faults_total");
        logWarning(LogPart::App, "event=settings-unusable fault=", toString(faults->front()));
        return;
    }
    const auto &next = std::get<RouterSettings>(read);
    if (next == settings)
        return;
    const bool storeChanged = next.platformUrl != settings.platformUrl;
    const bool addressesChanged = next.callers != settings.callers || next.ready != settings.ready
                                  || next.admin != settings.admin
                                  || next.datagrams != settings.datagrams;
    logInfo(LogPart::App, "event=settings-reloaded store_moved=", storeChanged,
            " addresses_moved_need_restart=", addressesChanged);
    const RouterSettings previous = std::exchange(settings, next);
    settings.callers = previous.callers;
    settings.ready = previous.ready;
    settings.admin = previous.admin;
    settings.datagrams = previous.datagrams;
    startLog(settings.logLevel, LogFormat::Events, settings.name.value);
    router->setRetryLimits(retryLimits());
    router->setHedgeShare(settings.hedgeShare);
    directory.setRenewalInterval(settings.renewalInterval);
    pool.setMaxPause(settings.maxPause);
    const bool pollingChanged = previous.maxConfigurationDelay != settings.maxConfigurationDelay
                                || previous.maxLeavingDelay != settings.maxLeavingDelay;
    if (storeChanged || pollingChanged)
        restartFollowers();
}

RetryLimits RouterNode::Impl::retryLimits() const
{
    return RetryLimits{settings.retryRatio, settings.retrySlack, settings.retryWindow};
}

void RouterNode::Impl::logState()
{
    logInfo(LogPart::Gateway, "event=callers connections=", gateway->openConnections(),
            " open_requests=", gateway->openRequests(), " routed=", router->openRequests(),
            " accepted=", metrics.counterValue("lovagecourse_connections_accepted_total"),
            " left=", metrics.counterValue("lovagecourse_connections_dropped_total", "left"),
            " full=", metrics.counterValue("lovagecourse_connections_dropped_total", "full"),
            " late=", metrics.counterValue("lovagecourse_connections_dropped_total", "late"),
            " listening_paused=", metrics.counterValue("lovagecourse_listening_paused_total"),
            " accept_failures=", metrics.counterValue("lovagecourse_accept_failures_total"),
            " left_unread=", metrics.counterValue("lovagecourse_callers_left_unread_total"),
            " requests=", metrics.counterValue("lovagecourse_caller_requests_total"),
            " routers=", peers.liveCount(clock.now()), " busy=", meanBusyShare,
            " request_cost_ms=", intake.requestCostMs());
    const auto readAgeMs = [this](const StoreFollower &follower) {
        return follower.asOf() ? toMs(clock.now() - *follower.asOf()) : -1;
    };
    logInfo(LogPart::Platform,
            "event=store-reads configuration_age_ms=", readAgeMs(*configurationFollower),
            " servers_age_ms=", readAgeMs(*serversFollower),
            " configuration_failing=", configurationFollower->isFailing(),
            " servers_failing=", serversFollower->isFailing());
    metrics.gauge("lovagecourse_caller_connections",
                  static_cast<double>(gateway->openConnections()));
    memory.report(metrics);
    logInfo(LogPart::App, "event=memory used=", memory.used(),
            " high_water=", memory.highWaterMark(), " limit=", memory.limits().totalBytes);
    pool.logState(clock.now());
    shares.logState(clock.now());
}

ReadinessInput RouterNode::Impl::readiness() const
{
    ReadinessInput input;
    input.hasConfiguration = configuration != nullptr;
    input.hasServers = serversLoaded;
    input.isStopping = terminatedAt.has_value();
    input.isOverloaded = isOverloaded;
    input.isPaused = rotationPause.isPaused(clock.now());
    return input;
}

/// Logs each change of the readiness and of its reasons.
void RouterNode::Impl::logReadiness()
{
    const ReadinessInput input = readiness();
    if (loggedReadiness == input)
        return;
    loggedReadiness = input;
    metrics.gauge("lovagecourse_ready", isReady(input) ? 1 : 0);
    logInfo(LogPart::App, "event=readiness ready=", isReady(input),
            " reasons=", reasonsNotReady(input));
}

void RouterNode::Impl::answerAdmin(HttpGateway &target, const CallerRequest &request)
{
    if (request.path == platform.readyPath || request.path == "/readyz") {
        logReadiness();
        const std::string reasons = reasonsNotReady(readiness());
        return target.answer(request.id, reasons.empty() ? statusOk : statusUnavailable,
                             {{"content-type", "text/plain"}},
                             reasons.empty() ? "ready\n" : "not ready: " + reasons + '\n');
    }
    if (request.path == "/metrics")
        return target.answer(request.id, statusOk, {{"content-type", "text/plain; version=0.0.4"}},
                             metrics.renderPrometheus());
    target.answer(request.id, statusNotFound, {{"content-type", "text/plain"}}, "not found\n");
}

void RouterNode::Impl::onTerminate()
{
    if (terminatedAt)
        return;
    terminatedAt = clock.now();
    logInfo(LogPart::App, "event=stopping open_requests=", router->openRequests());
    gateway->closeAfterAnswers();
    router->setExitTime(*terminatedAt + settings.shutdownLimit - exitMargin - lastAnswersTime);
}

/// Adapts the number of connections that the gateway accepts in the next interval.
void RouterNode::Impl::updateIntakeLimit(const ProcessLoad &load, TimePoint now)
{
    const bool wasLimited = intake.isLimited();
    const std::size_t allowed = intake.onInterval(load, now);
    gateway->limitAcceptsAtOnce(intake.acceptsAtOnce());
    if (intake.isLimited())
        gateway->limitAccepts(allowed);
    else if (wasLimited)
        gateway->unlimitAccepts();
    const std::size_t rejected = gateway->takeRejectedConnections();
    // Callers that waited for the handling of the store's answers show no load above the host's
    // size. They are rejected in the same interval or in the next one.
    const bool hasStoreWork = load.storeMs > longStoreWorkMs;
    const bool followsStoreWork = std::exchange(hadStoreWork, hasStoreWork);
    const bool isCallersLoad = !hasStoreWork && !followsStoreWork;
    if (rotationPause.onInterval(isCallersLoad ? rejected : 0, load.received, now))
        logWarning(LogPart::Gateway, "event=rotation-paused rejected=", rejected,
                   " pause_ms=", toMs(rotationPause.pause()), " late_ms=", load.loopDelayMs,
                   " busy=", load.busyShare, " store_ms=", load.storeMs,
                   " accepts_at_once=", intake.acceptsAtOnce());
    if (intake.isLimited() != wasLimited)
        logWarning(LogPart::Gateway, "event=", wasLimited ? "intake-unlimited" : "intake-limited",
                   " late_ms=", load.loopDelayMs, " busy=", load.busyShare,
                   " store_ms=", load.storeMs, " request_cost_ms=", intake.requestCostMs(),
                   " max_open=", intake.maxOpen(), " open_requests=", load.open,
                   " connections=", gateway->openConnections());
}

/// Measures the load of this process in the interval since the last tick. An overloaded router
/// reports not ready, so that the platform sends new callers to other routers.
void RouterNode::Impl::updateProcessLoad(TimePoint now)
{
    const auto elapsed = now - std::exchange(lastTick, now);
    const double lateMs = std::max(0., toMs(elapsed - tickInterval));
    const double busyShare = loop.takeBusyShare();
    ProcessLoad load;
    load.intervalMs = toMs(elapsed);
    // Rejecting callers would not make the handling of the store's answers shorter.
    load.storeMs = load.intervalMs * loop.highPriorityShare();
    load.busyShare = std::max(0., busyShare - loop.highPriorityShare());
    load.loopDelayMs = std::max(0., lateMs - load.storeMs);
    load.received = std::exchange(receivedRequests, 0);
    load.open = gateway->openRequests();
    pool.setLoopDelay(elapsed > tickInterval ? elapsed - tickInterval
                                             : std::chrono::nanoseconds(0));
    updateIntakeLimit(load, now);
    meanBusyShare += busyShareWeight * (busyShare - meanBusyShare);
    if (load.storeMs > longStoreWorkMs)
        logInfo(LogPart::Platform, "event=store-work took_ms=", load.storeMs, " late_ms=", lateMs);
    loop.setCollectInterval(collectInterval(meanBusyShare));
    // A process that was suspended is late without load.
    const double countedDelayMs =
            busyShare >= minCountedBusyShare ? std::min(lateMs, maxCountedLoopDelayMs) : 0;
    meanLoopDelayMs += loopDelayWeight * (countedDelayMs - meanLoopDelayMs);
    const bool isDelayed =
            meanLoopDelayMs > (isOverloaded ? overloadEndLoopDelayMs : overloadLoopDelayMs);
    if (isDelayed == isOverloaded)
        return;
    isOverloaded = isDelayed;
    logWarning(LogPart::App, "event=", isDelayed ? "overloaded" : "overload-over",
               " lateness_ms=", meanLoopDelayMs, " busy=", meanBusyShare,
               " open_requests=", router->openRequests());
}

/// Does the periodic work. After SIGTERM, ends the process when the balancer's grace period is over
/// and no request is open, at the latest exitMargin before the shutdown limit.
void RouterNode::Impl::onTick()
{
    const TimePoint now = clock.now();
    updateProcessLoad(now);
    updateRelay(now);
    applyChanges(directory.expire(!serversFollower->isFailing(), now));
    if (evacuationReads.expire(now))
        applyEvacuations();
    crashTraits.expire(now);
    pool.updateLimitParts(limitCounts(), now);
    updateWarming(now);
    logReadiness();
    if (pool.takeLimitsChanged())
        sendLimits(fleetTargets());
    flushLog();
    if (!terminatedAt)
        return;
    const auto since = now - *terminatedAt;
    // A later request could not complete before the platform kills the process.
    const milliseconds acceptingTime = std::min(
            settings.balancerGrace,
            std::chrono::duration_cast<milliseconds>(settings.shutdownLimit * acceptingShare));
    if (since >= acceptingTime)
        router->refuseNewRequests();
    const auto exitTime = settings.shutdownLimit - exitMargin;
    if (since >= exitTime - lastAnswersTime)
        router->endOpenRequests();
    const bool isIdle = since >= acceptingTime && gateway->openRequests() == 0;
    if (!isIdle && since < exitTime)
        return;
    logInfo(LogPart::App, "event=stopped open_requests=", router->openRequests());
    loop.stop();
}

RouterNode::RouterNode(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

RouterNode::~RouterNode() = default;

std::variant<std::unique_ptr<RouterNode>, SocketFailure>
RouterNode::open(EventLoop &loop, const Clock &clock, const RouterSettings &settings,
                 PlatformBinding platform)
{
    configureAllocator();
    auto impl = std::make_unique<Impl>(loop, clock, settings, std::move(platform));
    if (const auto failure = impl->openSockets())
        return *failure;
    impl->start();
    return std::unique_ptr<RouterNode>(new RouterNode(std::move(impl)));
}

} // namespace lovagecourse
