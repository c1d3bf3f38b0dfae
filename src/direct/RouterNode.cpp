#include "direct/RouterNode.h"

#include "core/Log.h"
#include "direct/DirectRouter.h"
#include "direct/RouterPeers.h"
#include "direct/StoreFollower.h"
#include "placing/IntakeLimit.h"
#include "wire/DatagramSocket.h"

#include <algorithm>
#include <csignal>
#include <optional>
#include <utility>

namespace lovagecourse {

namespace {

// Heartbeats of all servers would end a long poll many times a second, so their entries are read at
// a pace. This part of the bound leaves the rest for the answer and a lost packet.
constexpr double leavingPaceShare = 0.55;
// The router that reads first tells the others when nothing has changed, and they put off their own
// read. Their paces differ by up to this part of the bound, so that they don't read at once.
constexpr double leavingPaceStagger = 0.1;
// Reports of all that a router knows of its load.
constexpr milliseconds reportInterval{100};
// News of sends go out this soon, a small part of the time in which an engine reads a usual prompt,
// and later with many peers, so that a router sends at most 2,000 datagrams of news a second.
constexpr std::chrono::microseconds newsDelay{5000};
constexpr std::chrono::microseconds newsDelayPerPeer{500};
// Above this number of peers, reports are rarer, so that their traffic grows with the number of
// routers and not with its square.
constexpr std::size_t peersPerInterval = 5;
// Fit into one datagram of 1,400 bytes.
constexpr std::size_t maxReportedAccounts = 96;
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
constexpr milliseconds listRetryInterval{500};
constexpr milliseconds listTimeout{1000};
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
// A caller that keeps to the limit never meets the close.
constexpr seconds idleTimeoutSlack{1};
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

struct RouterNode::Impl
{
    Impl(EventLoop &eventLoop, const Clock &nodeClock, RouterSettings nodeSettings,
         PlatformBinding nodePlatform);

    std::optional<SocketFailure> openSockets();
    void start();
    FollowPace configurationPace() const;
    FollowPace serversPace() const;
    DirectContext routerContext();
    RepeatLimits repeatLimits() const;
    HttpGateway::Handlers gatewayHandlers();
    void answerAdmin(HttpGateway &gateway, const CallerRequest &request);

    void onConfigurationRecords(const std::vector<KeyedRecord> &records);
    void onAllServers(const std::vector<KeyedRecord> &records);
    void onServerRecords(const std::vector<KeyedRecord> &records, LogOffset from, LogOffset to);
    void tellUnchanged(LogOffset from, LogOffset to);
    std::optional<ServerEntry> decodeServer(const KeyedRecord &record);
    void applyChanges(const std::vector<ServerChange> &changes);

    void listSelf();
    void readRouters();
    void sendReport();
    void sendNews();
    void sendReports(std::vector<RouterReport> reports, const std::vector<Endpoint> &targets);
    void onRequest(CallerRequest &&request);
    void onDatagram(const DaemonId &sender, const Message &message);

    void logState();
    bool isReady() const;
    void reloadSettings();
    void restartFollowers();
    void onTerminate();
    void watchLateness(TimePoint now);
    void limitIntake(double lateMs, TimePoint now);
    void onTick();

    EventLoop &loop;
    const Clock &clock;
    RouterSettings settings;
    PlatformBinding platform;
    Metrics metrics;
    Authenticator fleetKey;
    WireContext wire;
    HttpClient http;
    std::unique_ptr<FleetStore> store;
    std::shared_ptr<const DirectConfiguration> configuration;
    ServerDirectory directory;
    bool serversKnown = false;
    ServerPool pool;
    FairShares shares;
    RouterPeers peers;
    std::unique_ptr<DirectRouter> router;
    std::unique_ptr<StoreFollower> configurationFollower;
    std::unique_ptr<StoreFollower> serversFollower;
    std::unique_ptr<DatagramSocket> datagrams;
    std::unique_ptr<HttpGateway> gateway;
    std::unique_ptr<HttpGateway> readyGateway;
    std::unique_ptr<HttpGateway> adminGateway;
    std::optional<TimePoint> terminated;
    TimePoint lastTick;
    /// Mean lateness of the ticks, in ms.
    double lateness = 0;
    bool isOverloaded = false;
    IntakeLimit intake;
    /// When callers were last turned away for lateness.
    TimePoint turnedAway;
    Timer tick;
    Timer reportTimer;
    Timer newsTimer;
    Timer listTimer;
    Timer routersTimer;
    Timer stateLogTimer;
    SignalWatcher onTerm;
    SignalWatcher onInterrupt;
    SignalWatcher onHangUp;
    Timer settingsTimer;
};

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

/// A long poll brings changes at once; its wait bounds the time after which a silent connection is
/// noticed.
FollowPace RouterNode::Impl::configurationPace() const
{
    return FollowPace{milliseconds(0), settings.configurationBound};
}

FollowPace RouterNode::Impl::serversPace() const
{
    constexpr double hashes = 4294967296.;
    const double stagger = leavingPaceStagger * reportHash(settings.name.value) / hashes;
    const auto pause = std::chrono::duration_cast<milliseconds>(settings.leavingBound
                                                                * (leavingPaceShare + stagger));
    return FollowPace{pause, milliseconds(0)};
}

void RouterNode::Impl::restartFollowers()
{
    store = platform.openStore(http, settings.platformUrl);
    StoreFollower::Handlers forConfiguration;
    forConfiguration.onAll = [this](const auto &records) { onConfigurationRecords(records); };
    forConfiguration.onChanges = [this](const auto &records, LogOffset, LogOffset) {
        onConfigurationRecords(records);
    };
    forConfiguration.onNothing = [](LogOffset) {};
    forConfiguration.onReturned = [] {};
    configurationFollower =
            std::make_unique<StoreFollower>(loop, clock, *store, KeyedTopic::Configuration,
                                            configurationPace(), std::move(forConfiguration));
    StoreFollower::Handlers forServers;
    forServers.onAll = [this](const auto &records) { onAllServers(records); };
    forServers.onChanges = [this](const auto &records, LogOffset from, LogOffset to) {
        onServerRecords(records, from, to);
    };
    forServers.onNothing = [this](LogOffset next) { tellUnchanged(next, next); };
    forServers.onReturned = [this] { directory.onStoreReturned(clock.now()); };
    serversFollower = std::make_unique<StoreFollower>(loop, clock, *store, KeyedTopic::Servers,
                                                      serversPace(), std::move(forServers));
    configurationFollower->start();
    serversFollower->start();
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

RepeatLimits RouterNode::Impl::repeatLimits() const
{
    return RepeatLimits{settings.repeatRatio, settings.repeatSlack, settings.repeatWindow};
}

void RouterNode::Impl::onConfigurationRecords(const std::vector<KeyedRecord> &records)
{
    for (const KeyedRecord &record : records) {
        if (record.key != platform.configurationKey || !record.value)
            continue;
        auto decoded = platform.decodeConfiguration(*record.value);
        if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
            metrics.count("lovagecourse_configuration_faults_total");
            logError(LogPart::Configuration, "event=configuration-unreadable field=", fault->field);
            continue;
        }
        auto &next = std::get<DirectConfiguration>(decoded);
        const std::uint64_t current = configuration ? configuration->version : 0;
        if (configuration && next.version <= current)
            continue;
        logInfo(LogPart::Configuration, "event=configuration version=", next.version,
                " before=", current, " routes=", next.routes.size(),
                " keys=", next.accounts.size());
        metrics.gauge("lovagecourse_configuration_version", static_cast<double>(next.version));
        configuration = std::make_shared<const DirectConfiguration>(std::move(next));
        pool.setConfiguration(configuration);
        router->setConfiguration(configuration);
        if (configuration->idleTimeout.count() > 0)
            gateway->setIdleTimeout(std::chrono::ceil<seconds>(configuration->idleTimeout)
                                    + idleTimeoutSlack);
    }
}

std::optional<ServerEntry> RouterNode::Impl::decodeServer(const KeyedRecord &record)
{
    if (!record.value)
        return std::nullopt;
    auto decoded = platform.decodeServer(record.key, *record.value);
    if (const auto *fault = std::get_if<DecodeFault>(&decoded)) {
        metrics.count("lovagecourse_server_entry_faults_total");
        logWarning(LogPart::Membership, "event=server-unreadable server=", record.key,
                   " field=", fault->field);
        return std::nullopt;
    }
    return std::get<ServerEntry>(std::move(decoded));
}

void RouterNode::Impl::onAllServers(const std::vector<KeyedRecord> &records)
{
    std::map<ServerId, ServerEntry> entries;
    for (const KeyedRecord &record : records) {
        if (auto entry = decodeServer(record))
            entries.emplace(entry->id, std::move(*entry));
    }
    serversKnown = true;
    applyChanges(directory.applyAll(entries, clock.now()));
}

void RouterNode::Impl::onServerRecords(const std::vector<KeyedRecord> &records, LogOffset from,
                                       LogOffset to)
{
    bool hasNews = false;
    for (const KeyedRecord &record : records) {
        const ServerId id(record.key);
        const auto entry = decodeServer(record);
        hasNews = hasNews || directory.isNews(id, entry);
        applyChanges(directory.apply(id, entry, clock.now()));
    }
    if (!hasNews)
        tellUnchanged(from, to);
}

/// Saves the other routers a call to the store.
void RouterNode::Impl::tellUnchanged(LogOffset from, LogOffset to)
{
    for (const Endpoint &peer : peers.heard(clock.now()))
        datagrams->send(peer, ServersUnchanged{from, to});
}

void RouterNode::Impl::applyChanges(const std::vector<ServerChange> &changes)
{
    for (const ServerChange &change : changes)
        pool.apply(change, clock.now());
    metrics.gauge("lovagecourse_servers", static_cast<double>(directory.size()));
}

/// Other routers find this one by its record.
void RouterNode::Impl::listSelf()
{
    store->writeDaemon(settings.name.value, toString(settings.datagrams), listTimeout,
                       [this](const WriteResult &fault) {
                           if (!fault)
                               return;
                           logWarning(LogPart::Membership,
                                      "event=not-listed fault=", toString(*fault));
                           listTimer.startOnce(listRetryInterval);
                       });
}

void RouterNode::Impl::readRouters()
{
    store->readNewest(KeyedTopic::Daemons, listTimeout, [this](const KeyedResult &result) {
        if (const auto *fault = std::get_if<StoreFault>(&result)) {
            logWarning(LogPart::Membership, "event=routers-unknown fault=", toString(*fault));
            routersTimer.startOnce(listRetryInterval);
            return;
        }
        for (const KeyedRecord &record : std::get<KeyedBatch>(result).records) {
            const auto endpoint = parseEndpoint(record.value.value_or(""));
            if (endpoint && record.key != settings.name.value)
                peers.onListed(DaemonId(record.key), *endpoint);
        }
    });
}

void RouterNode::Impl::sendReport()
{
    const TimePoint now = clock.now();
    const std::vector<Endpoint> targets = peers.targets(now);
    const std::size_t slower = 1 + targets.size() / peersPerInterval;
    newsTimer.stop();
    reportTimer.startOnce(reportInterval * slower);
    RouterShares accounts;
    for (const auto &[account, tokens] : shares.own(now))
        accounts.accounts.push_back({account, static_cast<std::uint32_t>(tokens.asked),
                                     static_cast<std::uint32_t>(tokens.served)});
    // Accounts that ask for most decide the fair share.
    std::sort(accounts.accounts.begin(), accounts.accounts.end(),
              [](const auto &left, const auto &right) { return left.asked > right.asked; });
    if (accounts.accounts.size() > maxReportedAccounts)
        accounts.accounts.resize(maxReportedAccounts);
    sendReports(pool.makeReports(false, now), targets);
    for (const Endpoint &target : targets)
        datagrams->send(target, accounts);
}

/// What was sent to servers a moment ago, so that routers don't all choose the same idle one.
void RouterNode::Impl::sendNews()
{
    sendReports(pool.makeReports(true, clock.now()), peers.heard(clock.now()));
}

void RouterNode::Impl::sendReports(std::vector<RouterReport> reports,
                                   const std::vector<Endpoint> &targets)
{
    for (RouterReport &report : reports) {
        report.datagrams = settings.datagrams;
        report.isLeaving = terminated.has_value();
        for (const Endpoint &target : targets)
            datagrams->send(target, report);
    }
}

void RouterNode::Impl::onRequest(CallerRequest &&request)
{
    router->onRequest(std::move(request));
    if (!pool.hasNews() || newsTimer.isActive())
        return;
    const auto peerCount = static_cast<int>(peers.heard(clock.now()).size());
    newsTimer.startOnce(std::max(newsDelay, newsDelayPerPeer * peerCount));
}

void RouterNode::Impl::onDatagram(const DaemonId &sender, const Message &message)
{
    const TimePoint now = clock.now();
    if (const auto *report = std::get_if<RouterReport>(&message)) {
        peers.onHeard(sender, report->datagrams, now);
        if (report->isLeaving)
            peers.onLeaving(sender);
        pool.applyReport(sender.value, *report, now);
    } else if (const auto *reported = std::get_if<RouterShares>(&message)) {
        std::vector<std::pair<AccountHash, AccountTokens>> accounts;
        for (const RouterAccountLoad &load : reported->accounts)
            accounts.emplace_back(load.account, AccountTokens{static_cast<double>(load.asked),
                                                              static_cast<double>(load.served)});
        shares.setPeer(sender.value, std::move(accounts), now);
    } else if (const auto *unchanged = std::get_if<ServersUnchanged>(&message)) {
        metrics.count("lovagecourse_store_reads_saved_total");
        serversFollower->onUnchanged(unchanged->from, unchanged->to);
    } else {
        metrics.count("lovagecourse_unexpected_messages_total");
    }
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
    pool.setOwnDelay(elapsed > housekeepingInterval ? elapsed - housekeepingInterval
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
