#include "direct/RouterNode.h"

#include "core/Log.h"
#include "direct/RouterNodeImpl.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace lovagecourse {

namespace {

constexpr milliseconds housekeepingInterval{50};
constexpr seconds settingsInterval{2};
// A tick that comes this late on average delays every event of a stream by as much, which is near
// what platforms allow for passing one on; half of that is usual for a busy process.
constexpr double overloadLatenessMs = 100;
constexpr double calmLatenessMs = 25;
// A frozen process must not count as overloaded for long after it wakes.
constexpr double maxLatenessMs = 500;
// Weight of one tick in the mean: about ten ticks, half a second, count.
constexpr double latenessWeight = 0.1;
// The balancer sends a caller to the same router each time, so a router that turned callers away is
// not ready until a rush of a few seconds is over, and the balancer spreads them over the others.
constexpr seconds turnedAwayPause{6};
// What a router believes of the servers, for explaining a decision afterwards.
constexpr seconds stateLogInterval{5};
// Larger than platforms allow; the configuration's own limit is checked behind it.
constexpr std::size_t gatewayBodyBytes = 64U << 20;
// Each connection keeps a buffer of about three times this size.
constexpr std::size_t gatewayHeaderBytes = 16U << 10;
// Parts of the sockets and of the memory that callers' connections may take; the rest is for
// backend servers and for what the process knows.
constexpr unsigned callerSocketsPercent = 70;
constexpr std::size_t callerMemoryPercent = 50;
// From this part of the connections on, no idle one is kept.
constexpr unsigned keptConnectionsPercent = 50;
// The gateway's buffers for a connection, and a usual prompt that is unread or being passed on.
constexpr std::size_t callerConnectionBytes = 64U << 10;
constexpr std::size_t bytesPerMb = 1U << 20;
// Until a configuration tells the limit.
constexpr seconds gatewayIdleTimeout{30};
// The process ends by itself this long before the platform would kill it.
constexpr milliseconds exitReserve{400};
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

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
    , fleetKey(settings.fleetKey)
    , wire{loop, clock, metrics, fleetKey, makeHello(settings, clock)}
    , http(loop)
    , pool(settings.dataCentre)
    , router(std::make_unique<DirectRouter>(routerContext()))
    , tick(loop, [this] { onTick(); })
    , reportTimer(loop, [this] { sendReport(); })
    , newsTimer(loop, [this] { sendNews(); })
    , listTimer(loop, [this] { listSelf(); })
    , routersTimer(loop, [this] { readRouters(); })
    , stateLogTimer(loop, [this] { logState(); })
    , onTerm(loop, SIGTERM, [this] { onTerminate(); })
    , onInterrupt(loop, SIGINT, [this] { onTerminate(); })
    , onHangUp(loop, SIGHUP, [this] { reloadSettings(); })
    , settingsTimer(loop, [this] { reloadSettings(); })
{}

DirectContext RouterNode::Impl::routerContext()
{
    return DirectContext{
            loop, clock, metrics, http, *platform.requests, pool, shares, repeatLimits(), [this] {
                return peers.liveCount(clock.now());
            }};
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
    auto socket = DatagramSocket::open(
            wire, settings.datagrams,
            [this](const DaemonId &sender, Message &&message) { onDatagram(sender, message); });
    if (const auto *failure = std::get_if<SocketFailure>(&socket))
        return *failure;
    datagrams = std::move(std::get<0>(socket));

    GatewayLimits limits;
    limits.maxBodyBytes = gatewayBodyBytes;
    limits.maxHeaderBytes = gatewayHeaderBytes;
    limits.idleTimeout = gatewayIdleTimeout;
    limits.dropHalfClosed = true;
    const unsigned bySockets = settings.maxSockets * callerSocketsPercent / 100;
    const auto byMemory = static_cast<unsigned>(settings.maxMemoryMb * callerMemoryPercent / 100
                                                * bytesPerMb / callerConnectionBytes);
    limits.maxConnections = std::min(bySockets, byMemory);
    limits.maxKeptConnections = limits.maxConnections * keptConnectionsPercent / 100;
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
    restartFollowers();
    listSelf();
    readRouters();
    lastTick = clock.now();
    tick.startRepeating(housekeepingInterval);
    reportTimer.startOnce(reportInterval);
    stateLogTimer.startRepeating(stateLogInterval);
    settingsTimer.startRepeating(settingsInterval);
}

/// Takes over what can change while the process runs; the file may change without a signal.
void RouterNode::Impl::reloadSettings()
{
    const RouterSettingsResult read = readRouterSettings(settings.file);
    if (const auto *faults = std::get_if<std::vector<SettingsFault>>(&read)) {
        // The file may be read in the middle of being replaced; the former settings hold.
        metrics.count("lovagecourse_settings_faults_total");
        logWarning(LogPart::App, "event=settings-unusable fault=", toString(faults->front()));
        return;
    }
    const auto &next = std::get<RouterSettings>(read);
    if (next == settings)
        return;
    const bool storeMoved = next.platformUrl != settings.platformUrl;
    const bool addressesMoved = next.callers != settings.callers || next.ready != settings.ready
                                || next.admin != settings.admin
                                || next.datagrams != settings.datagrams;
    logInfo(LogPart::App, "event=settings-reloaded store_moved=", storeMoved,
            " addresses_moved_need_restart=", addressesMoved);
    const RouterSettings before = std::exchange(settings, next);
    settings.callers = before.callers;
    settings.ready = before.ready;
    settings.admin = before.admin;
    settings.datagrams = before.datagrams;
    startLog(settings.logLevel, LogFormat::Events, settings.name.value);
    router->setRepeatLimits(repeatLimits());
    const bool pacesChanged = before.configurationBound != settings.configurationBound
                              || before.leavingBound != settings.leavingBound;
    if (storeMoved || pacesChanged)
        restartFollowers();
}

RetryLimits RouterNode::Impl::repeatLimits() const
{
    return RetryLimits{settings.repeatRatio, settings.repeatSlack, settings.repeatWindow};
}

void RouterNode::Impl::logState()
{
    logInfo(LogPart::Gateway, "event=callers connections=", gateway->openConnections(),
            " open_requests=", gateway->openRequests(), " routed=", router->openRequests(),
            " accepted=", metrics.counterValue("lovagecourse_connections_accepted_total"),
            " left=", metrics.counterValue("lovagecourse_connections_dropped_total", "left"),
            " full=", metrics.counterValue("lovagecourse_connections_dropped_total", "full"),
            " accept_failures=", metrics.counterValue("lovagecourse_accept_failures_total"),
            " left_unread=", metrics.counterValue("lovagecourse_callers_left_unread_total"),
            " requests=", metrics.counterValue("lovagecourse_caller_requests_total"),
            " routers=", peers.liveCount(clock.now()));
    metrics.gauge("lovagecourse_caller_connections",
                  static_cast<double>(gateway->openConnections()));
    pool.logState(clock.now());
}

bool RouterNode::Impl::isReady() const
{
    const bool hasRoom = turnedAway == TimePoint() || clock.now() - turnedAway > turnedAwayPause;
    return configuration && serversKnown && !terminated && !isOverloaded && hasRoom;
}

void RouterNode::Impl::answerAdmin(HttpGateway &target, const CallerRequest &request)
{
    if (request.path == platform.readyPath || request.path == "/readyz")
        return target.answer(request.id, isReady() ? statusOk : statusUnavailable,
                             {{"content-type", "text/plain"}},
                             isReady() ? "ready\n" : "not ready\n");
    if (request.path == "/metrics")
        return target.answer(request.id, statusOk, {{"content-type", "text/plain; version=0.0.4"}},
                             metrics.renderPrometheus());
    target.answer(request.id, statusNotFound, {{"content-type", "text/plain"}}, "not found\n");
}

void RouterNode::Impl::onTerminate()
{
    if (terminated)
        return;
    terminated = clock.now();
    logInfo(LogPart::App, "event=stopping open_requests=", router->openRequests());
    gateway->closeAfterAnswers();
}

void RouterNode::Impl::limitIntake(double lateMs, TimePoint now)
{
    const bool wasLimited = intake.isLimited();
    const std::size_t allowed = intake.onInterval(lateMs, gateway->openRequests(), now);
    if (intake.isLimited())
        gateway->limitAccepts(allowed);
    else if (wasLimited)
        gateway->unlimitAccepts();
    if (gateway->takeTurnedAway() > 0)
        turnedAway = now;
    if (intake.isLimited() != wasLimited)
        logWarning(LogPart::Gateway, "event=", wasLimited ? "intake-unlimited" : "intake-limited",
                   " late_ms=", lateMs, " max_open=", intake.maxOpen(),
                   " open_requests=", gateway->openRequests(),
                   " connections=", gateway->openConnections());
}

/// A process that is late with everything lets the platform send new callers elsewhere.
void RouterNode::Impl::watchLateness(TimePoint now)
{
    const auto elapsed = now - lastTick;
    lastTick = now;
    const double lateMs = std::max(0., toMs(elapsed - housekeepingInterval));
    pool.setLoopDelay(elapsed > housekeepingInterval ? elapsed - housekeepingInterval
                                                     : std::chrono::nanoseconds(0));
    limitIntake(lateMs, now);
    lateness += latenessWeight * (std::min(lateMs, maxLatenessMs) - lateness);
    const bool isLate = lateness > (isOverloaded ? calmLatenessMs : overloadLatenessMs);
    if (isLate == isOverloaded)
        return;
    isOverloaded = isLate;
    logWarning(LogPart::App, "event=", isLate ? "overloaded" : "overload-over",
               " lateness_ms=", lateness, " open_requests=", router->openRequests());
}

void RouterNode::Impl::onTick()
{
    const TimePoint now = clock.now();
    watchLateness(now);
    applyChanges(directory.expire(now));
    flushLog();
    if (!terminated)
        return;
    const auto since = now - *terminated;
    // A request that comes later could not end before the platform kills the process.
    if (since >= settings.balancerGrace)
        router->refuseNewRequests();
    const bool isIdle = since >= settings.balancerGrace && gateway->openRequests() == 0;
    if (!isIdle && since < settings.shutdownLimit - exitReserve)
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
    auto impl = std::make_unique<Impl>(loop, clock, settings, std::move(platform));
    if (const auto failure = impl->openSockets())
        return *failure;
    impl->start();
    return std::unique_ptr<RouterNode>(new RouterNode(std::move(impl)));
}

} // namespace lovagecourse
