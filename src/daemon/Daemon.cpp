#include "daemon/Daemon.h"

#include "core/Log.h"
#include "membership/PeerDiscovery.h"

#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <csignal>
#include <list>
#include <optional>
#include <random>

namespace lovagecourse {

namespace {

constexpr milliseconds gossipInterval{500};
constexpr std::size_t gossipFanOut = 2;
// How often a starting daemon checks whether a contact of its configured peers is due.
constexpr milliseconds discoveryTick{50};
// With 2 targets per round and a configured peer every fourth round, gossip sends about 2.5 KB/s. A
// daemon may send 8 KB/s; the rest is for service reports.
constexpr std::size_t maxGossipPeers = 6;
constexpr unsigned gossipRoundsPerConfiguredPeer = 4;
constexpr std::size_t maxGossipSuspects = 4;
constexpr milliseconds hostListInterval{1000};
// An agent ignores an entry's notice that the host list marks its host as leaving while its own
// list is fresh. When it can't read the list, its server must still leave within 3 s.
constexpr milliseconds hostListMaxAge{1500};
// Each link serves one state request. A link beyond the limit replaces the oldest one.
constexpr std::size_t maxStateLinks = 64;

Incarnation makeIncarnation(const Clock &clock)
{
    const auto sinceEpoch = clock.wallNow().time_since_epoch();
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    return Incarnation(static_cast<std::uint64_t>(count));
}

Hello makeHello(const DaemonSettings &settings, const Clock &clock)
{
    Hello hello;
    hello.daemon = settings.name;
    hello.role = settings.role;
    hello.incarnation = makeIncarnation(clock);
    hello.dataCentre = settings.dataCentre;
    hello.server = settings.server;
    hello.datagramEndpoint = settings.datagrams;
    return hello;
}

PeerEntry makeOwnPeerEntry(const Hello &hello)
{
    PeerEntry self;
    self.daemon = hello.daemon;
    self.role = hello.role;
    self.incarnation = hello.incarnation;
    self.datagramEndpoint = hello.datagramEndpoint;
    self.dataCentre = hello.dataCentre;
    return self;
}

std::string_view toString(DaemonRole role)
{
    return role == DaemonRole::Entry ? "entry" : "agent";
}

} // namespace

struct Daemon::Impl
{
    Impl(EventLoop &eventLoop, const Clock &daemonClock, DaemonSettings daemonSettings,
         Handlers roleHandlers)
        : loop(eventLoop)
        , clock(daemonClock)
        , settings(std::move(daemonSettings))
        , handlers(std::move(roleHandlers))
        , fleetKey(settings.fleetKey)
        , memory(memoryLimits(settings.maxMemoryMb))
        , wire{loop, clock, metrics, fleetKey, makeHello(settings, clock), memoryOrNull()}
        , peers(makeOwnPeerEntry(wire.hello))
        , http(loop, EventPriority::Normal, memoryOrNull())
        , log(http, settings.platformUrl)
        , discovery(settings.peers, settings.datagrams, clock.now())
        , gossipTimer(loop, [this] { gossip(); })
        , discoveryTimer(loop, [this] { contactConfiguredPeers(); })
        , hostListTimer(loop, [this] { readHostList(); })
        , onTerm(loop, SIGTERM, [this] { handlers.onTerminate(); })
        , onInterrupt(loop, SIGINT, [this] { handlers.onTerminate(); })
    {}

    /// Returns null if the settings don't limit the memory.
    MemoryAccount *memoryOrNull() { return settings.maxMemoryMb > 0 ? &memory : nullptr; }
    std::optional<SocketFailure> openSockets();
    void start();
    void gossip();
    void contactConfiguredPeers();
    void sendOwnEntry(const std::vector<Endpoint> &targets);
    void onDatagram(const DaemonId &sender, Message &&message);
    void onGossip(const DaemonId &sender, const Gossip &message);
    void acceptStateLink(int descriptor);
    void readHostList();
    Endpoint translateAddress(const Endpoint &endpoint) const;
    bool answerAdmin(HttpGateway &gateway, const CallerRequest &request);
    std::string statusPage();
    void updateGauges();

    EventLoop &loop;
    const Clock &clock;
    DaemonSettings settings;
    Handlers handlers;
    Metrics metrics;
    Authenticator fleetKey;
    MemoryAccount memory;
    WireContext wire;
    PeerTable peers;
    SuspectList suspects;
    HttpClient http;
    LogClient log;
    std::unique_ptr<DatagramSocket> datagrams;
    std::unique_ptr<LinkListener> stateListener;
    std::list<std::unique_ptr<Link>> stateLinks;
    std::unique_ptr<HttpGateway> admin;
    std::unique_ptr<ConfigurationFollower> configuration;
    std::set<HostId> leavingHosts;
    std::optional<TimePoint> hostListReadAt;
    bool leaving = false;
    unsigned gossipRounds = 0;
    std::mt19937_64 random{std::random_device{}()};
    PeerDiscovery discovery;
    Timer gossipTimer;
    Timer discoveryTimer;
    Timer hostListTimer;
    SignalWatcher onTerm;
    SignalWatcher onInterrupt;
};

std::optional<SocketFailure> Daemon::Impl::openSockets()
{
    auto socket = DatagramSocket::open(wire, settings.datagrams,
                                       [this](const DaemonId &sender, Message &&message) {
                                           onDatagram(sender, std::move(message));
                                       });
    if (const auto *failure = std::get_if<SocketFailure>(&socket))
        return *failure;
    datagrams = std::move(std::get<0>(socket));

    auto listener = LinkListener::open(loop, settings.datagrams,
                                       [this](int descriptor) { acceptStateLink(descriptor); });
    if (const auto *failure = std::get_if<SocketFailure>(&listener))
        return *failure;
    stateListener = std::move(std::get<0>(listener));

    HttpGateway::Handlers adminHandlers;
    adminHandlers.onRequest = [this](CallerRequest &&request) {
        if (!answerAdmin(*admin, request))
            admin->answer(request.id, 404, {}, "no such page\n");
    };
    adminHandlers.onCallerLeft = [](CallerId) {};
    adminHandlers.onConsumed = [](CallerId, std::size_t) {};
    auto gateway = HttpGateway::open(loop, metrics, settings.admin, settings.limits,
                                     std::move(adminHandlers));
    if (const auto *failure = std::get_if<SocketFailure>(&gateway))
        return *failure;
    admin = std::move(std::get<0>(gateway));
    return std::nullopt;
}

void Daemon::Impl::start()
{
    configuration = std::make_unique<ConfigurationFollower>(
            wire, settings, log, [this](const ConfigurationState &state) {
                peers.setSelf(state.offset, leaving);
                handlers.onConfiguration(state);
            });
    gossipTimer.startRepeating(gossipInterval);
    contactConfiguredPeers();
    hostListTimer.startOnce(milliseconds(0));
}

void Daemon::Impl::gossip()
{
    const TimePoint now = clock.now();
    // Must come first: after the process was suspended, the tables hold entries that expired
    // meanwhile and must not be sent.
    peers.expire(now);
    suspects.expire(now);
    Gossip message;
    message.peers = peers.gossipEntries(maxGossipPeers, random);
    message.suspects = suspects.recent(now, maxGossipSuspects);
    std::vector<Endpoint> targets = peers.gossipTargets(gossipFanOut, random);
    // Configured peers are also contacted, since they may have restarted as a new incarnation.
    const bool contactConfiguredPeer =
            gossipRounds++ % gossipRoundsPerConfiguredPeer == 0 || targets.empty();
    if (contactConfiguredPeer && !settings.peers.empty())
        targets.push_back(settings.peers[random() % settings.peers.size()]);
    for (const Endpoint &target : targets) {
        if (target != settings.datagrams)
            datagrams->send(translateAddress(target), message);
    }
}

/// Asks configured peers for a newer configuration while this daemon is starting.
void Daemon::Impl::contactConfiguredPeers()
{
    const TimePoint now = clock.now();
    const std::vector<Endpoint> targets = discovery.takeTargets(now);
    metrics.count("lovagecourse_peer_discovery_contacts_total", {},
                  static_cast<double>(targets.size()));
    sendOwnEntry(targets);
    if (!discovery.isOver(now))
        return discoveryTimer.startOnce(discoveryTick);
    logInfo(LogPart::Membership, "event=peer-discovery-over peers=", settings.peers.size(),
            " unanswered=", discovery.unansweredCount(),
            " offset=", configuration->state().offset.value);
}

/// Sends only the entry about this daemon, which holds the offset of its configuration.
void Daemon::Impl::sendOwnEntry(const std::vector<Endpoint> &targets)
{
    if (targets.empty())
        return;
    std::vector<Endpoint> translated;
    translated.reserve(targets.size());
    for (const Endpoint &target : targets)
        translated.push_back(translateAddress(target));
    datagrams->sendToAll(translated, Gossip{peers.gossipEntries(1, random), {}});
}

void Daemon::Impl::onDatagram(const DaemonId &sender, Message &&message)
{
    if (const auto *gossipMessage = std::get_if<Gossip>(&message))
        onGossip(sender, *gossipMessage);
    else
        handlers.onDatagram(sender, std::move(message));
}

void Daemon::Impl::onGossip(const DaemonId &sender, const Gossip &message)
{
    const TimePoint now = clock.now();
    peers.merge(message.peers, now);
    suspects.merge(message.suspects, now);
    // Only a peer's entry about itself shows that the peer is reachable.
    for (const PeerEntry &entry : message.peers) {
        if (entry.daemon != sender)
            continue;
        configuration->onPeerOffset(entry.datagramEndpoint, entry.configurationOffset);
        // A peer without a configuration is starting too, and may have a newer one in a moment.
        if (entry.configurationOffset.value > 0)
            discovery.onAnswer(entry.datagramEndpoint);
        if (shouldReplyToGossip(configuration->state().offset, entry.configurationOffset))
            sendOwnEntry({entry.datagramEndpoint});
    }
}

void Daemon::Impl::acceptStateLink(int descriptor)
{
    if (stateLinks.size() >= maxStateLinks)
        stateLinks.pop_front();
    stateLinks.push_back(nullptr);
    const auto slot = std::prev(stateLinks.end());
    Link::Handlers linkHandlers;
    linkHandlers.onReady = [](const Hello &) {};
    linkHandlers.onMessage = [this, slot](Message &&message) {
        if (const auto *request = std::get_if<ConfigurationStateRequest>(&message))
            (*slot)->send(configuration->replyTo(*request));
    };
    linkHandlers.onClosed = [this, slot](const LinkFailure &) { stateLinks.erase(slot); };
    *slot = Link::accept(wire, descriptor, std::move(linkHandlers));
}

void Daemon::Impl::readHostList()
{
    log.listHosts([this](const HostListResult &result) {
        if (const auto *hosts = std::get_if<std::vector<HostEntry>>(&result)) {
            leavingHosts.clear();
            hostListReadAt = clock.now();
            for (const HostEntry &host : *hosts) {
                if (host.leaving)
                    leavingHosts.insert(host.host);
            }
            handlers.onHostList();
        }
        hostListTimer.startOnce(hostListInterval);
    });
}

bool Daemon::Impl::answerAdmin(HttpGateway &gateway, const CallerRequest &request)
{
    const HeaderList text{{"content-type", "text/plain; version=0.0.4"}};
    if (request.path == "/healthz") {
        gateway.answer(request.id, 200, text, "alive\n");
    } else if (request.path == "/readyz") {
        const bool ready = !leaving && handlers.isReady();
        gateway.answer(request.id, ready ? 200 : 503, text, ready ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        updateGauges();
        gateway.answer(request.id, 200, text, metrics.renderPrometheus());
    } else if (request.path == "/status") {
        gateway.answer(request.id, 200, {{"content-type", "application/json"}}, statusPage());
    } else {
        return false;
    }
    return true;
}

std::string Daemon::Impl::statusPage()
{
    nlohmann::json page;
    page["daemon"] = settings.name.value;
    page["role"] = toString(settings.role);
    page["data_centre"] = settings.dataCentre.value;
    page["incarnation"] = wire.hello.incarnation.value;
    page["ready"] = !leaving && handlers.isReady();
    page["leaving"] = leaving;
    page["log_available"] = configuration->isLogAvailable();
    page["note"] = configuration->state().note.value;
    page["configuration_offset"] = configuration->state().offset.value;
    page["peers"] = nlohmann::json::array();
    for (const PeerEntry &peer : peers.livePeers()) {
        page["peers"].push_back({{"name", peer.daemon.value},
                                 {"role", toString(peer.role)},
                                 {"data_centre", peer.dataCentre.value},
                                 {"address", toString(peer.datagramEndpoint)},
                                 {"configuration_offset", peer.configurationOffset.value},
                                 {"leaving", peer.leaving}});
    }
    handlers.fillStatus(page);
    return page.dump(2) + '\n';
}

void Daemon::Impl::updateGauges()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto inSeconds = [](const timeval &time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    metrics.gauge("process_cpu_seconds_total",
                  inSeconds(usage.ru_utime) + inSeconds(usage.ru_stime));
    // Linux reports the peak resident size in kilobytes.
    metrics.gauge("process_peak_resident_bytes", static_cast<double>(usage.ru_maxrss) * 1024.);
    if (settings.maxMemoryMb > 0)
        memory.report(metrics);
    metrics.gauge("lovagecourse_note_number",
                  static_cast<double>(configuration->state().note.value));
    metrics.gauge("lovagecourse_live_peers", static_cast<double>(peers.livePeers().size()));
}

Endpoint Daemon::Impl::translateAddress(const Endpoint &endpoint) const
{
    const auto replaced = settings.addressTranslations.find(endpoint);
    return replaced == settings.addressTranslations.end() ? endpoint : replaced->second;
}

std::variant<std::unique_ptr<Daemon>, SocketFailure>
Daemon::open(EventLoop &loop, const Clock &clock, DaemonSettings settings, Handlers handlers)
{
    if (settings.maxMemoryMb > 0)
        configureAllocator();
    auto impl = std::make_unique<Impl>(loop, clock, std::move(settings), std::move(handlers));
    if (const auto failure = impl->openSockets())
        return *failure;
    impl->start();
    return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

Daemon::Daemon(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

Daemon::~Daemon() = default;

EventLoop &Daemon::loop()
{
    return impl_->loop;
}

const Clock &Daemon::clock() const
{
    return impl_->clock;
}

TimePoint Daemon::now() const
{
    return impl_->clock.now();
}

Metrics &Daemon::metrics()
{
    return impl_->metrics;
}

const DaemonSettings &Daemon::settings() const
{
    return impl_->settings;
}

MemoryAccount *Daemon::memory()
{
    return impl_->memoryOrNull();
}

const WireContext &Daemon::wire() const
{
    return impl_->wire;
}

Incarnation Daemon::incarnation() const
{
    return impl_->wire.hello.incarnation;
}

HttpClient &Daemon::http()
{
    return impl_->http;
}

LogClient &Daemon::log()
{
    return impl_->log;
}

DatagramSocket &Daemon::datagrams()
{
    return *impl_->datagrams;
}

PeerTable &Daemon::peers()
{
    return impl_->peers;
}

SuspectList &Daemon::suspects()
{
    return impl_->suspects;
}

ConfigurationFollower &Daemon::configuration()
{
    return *impl_->configuration;
}

bool Daemon::isHostLeaving(const HostId &host) const
{
    return impl_->leavingHosts.contains(host);
}

bool Daemon::isHostListFresh() const
{
    return impl_->hostListReadAt && now() - *impl_->hostListReadAt < hostListMaxAge;
}

Endpoint Daemon::translateAddress(const Endpoint &endpoint) const
{
    return impl_->translateAddress(endpoint);
}

void Daemon::setLeaving()
{
    impl_->leaving = true;
    impl_->peers.setSelf(impl_->configuration->state().offset, true);
}

bool Daemon::answerAdmin(HttpGateway &gateway, const CallerRequest &request)
{
    return impl_->answerAdmin(gateway, request);
}

} // namespace lovagecourse
