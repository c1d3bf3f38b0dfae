#include "membership/PeerDiscovery.h"
#include "daemon/Daemon.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

constexpr milliseconds tick{50};

std::vector<Endpoint> makePeers(std::size_t count)
{
    std::vector<Endpoint> peers;
    for (std::size_t i = 0; i < count; ++i)
        peers.push_back({"127.0.0.1", static_cast<std::uint16_t>(24000 + i)});
    return peers;
}

/// Datagrams until the discovery is over, if no peer answers.
std::size_t countContacts(std::size_t peerCount)
{
    ManualClock clock;
    PeerDiscovery discovery(makePeers(peerCount), Endpoint{}, clock.now());
    std::size_t contacts = 0;
    for (int step = 0; step < 200; ++step, clock.advance(tick))
        contacts += discovery.takeTargets(clock.now()).size();
    CHECK(discovery.isOver(clock.now()));
    return contacts;
}

} // namespace

// Guards against a starting daemon that contacts only some of its peers at once, forgets those that
// did not answer, or goes on contacting those that did.
TEST_CASE("peer discovery, contacts all at once and repeats until each answered")
{
    ManualClock clock;
    const std::vector<Endpoint> peers = makePeers(3);
    PeerDiscovery discovery(peers, peers[2], clock.now());
    CHECK(discovery.takeTargets(clock.now()) == std::vector<Endpoint>{peers[0], peers[1]});
    CHECK(discovery.takeTargets(clock.now()).empty());
    discovery.onAnswer(peers[1]);
    clock.advance(milliseconds(250));
    CHECK(discovery.takeTargets(clock.now()) == std::vector<Endpoint>{peers[0]});
    CHECK_FALSE(discovery.isOver(clock.now()));
    discovery.onAnswer(peers[0]);
    CHECK(discovery.isOver(clock.now()));
    clock.advance(milliseconds(250));
    CHECK(discovery.takeTargets(clock.now()).empty());
}

// Guards against contacts after the daemon may be ready, and against a start of a large fleet that
// floods the network; a fleet has up to 350 processes.
TEST_CASE("peer discovery, silent peers, ends with a bounded number of datagrams")
{
    for (const std::size_t peers : {1U, 10U, 64U, 65U, 129U, 349U, 768U})
        CHECK(countContacts(peers) <= PeerDiscovery::maxContacts);
    CHECK(countContacts(1000) == 1000);
    CHECK(countContacts(10) == 120);
    CHECK(countContacts(0) == 0);
}

// Guards against two daemons that reply to each other without end, and against a starting daemon
// that does not get a reply.
TEST_CASE("peer discovery, only the peer with the newer configuration replies")
{
    CHECK(shouldReplyToGossip(LogOffset(2), LogOffset(0)));
    CHECK_FALSE(shouldReplyToGossip(LogOffset(2), LogOffset(2)));
    CHECK_FALSE(shouldReplyToGossip(LogOffset(1), LogOffset(2)));
    CHECK_FALSE(shouldReplyToGossip(LogOffset(0), LogOffset(0)));
}

// Guards against a daemon that may be ready before it has contacted its peers: random gossip
// contacts one configured peer each 2 s, the first after 500 ms.
TEST_CASE("peer discovery, starting daemon, contacts every peer at once until it answers with a "
          "state")
{
    EventLoop loop;
    SystemClock clock;
    DaemonSettings settings;
    settings.name = DaemonId("entry-1");
    settings.fleetKey = "a key of the whole fleet";
    settings.platformUrl = "http://127.0.0.1:23499";
    settings.admin = {"127.0.0.1", 23491};
    settings.datagrams = {"127.0.0.1", 23492};
    settings.peers = {{"127.0.0.1", 23493}, {"127.0.0.1", 23494}};
    const Authenticator key(settings.fleetKey);
    Metrics metrics;
    std::array<Hello, 2> hellos;
    std::array<std::unique_ptr<DatagramSocket>, 2> sockets;
    std::array<int, 2> received{};
    std::array<std::chrono::nanoseconds, 2> firstAfter{seconds(60), seconds(60)};
    const TimePoint started = clock.now();
    for (std::size_t i = 0; i < sockets.size(); ++i) {
        hellos[i].daemon = DaemonId("peer-" + std::to_string(i));
        const WireContext context{loop, clock, metrics, key, hellos[i], nullptr};
        auto opened = DatagramSocket::open(
                context, settings.peers[i], [&, i](const DaemonId &, Message &&message) {
                    CHECK(std::holds_alternative<Gossip>(message));
                    if (received[i]++ == 0)
                        firstAfter[i] = clock.now() - started;
                    PeerEntry self;
                    self.daemon = hellos[i].daemon;
                    self.datagramEndpoint = settings.peers[i];
                    self.configurationOffset = LogOffset(1);
                    // The second peer is starting too: it has no configuration yet.
                    if (i == 1)
                        self.configurationOffset = LogOffset(0);
                    if (received[i] == 1)
                        sockets[i]->send(settings.datagrams, Gossip{{self}, {}});
                });
        REQUIRE(opened.index() == 0);
        sockets[i] = std::move(std::get<0>(opened));
    }
    Daemon::Handlers handlers;
    handlers.onConfiguration = [](const ConfigurationState &) {};
    handlers.onDatagram = [](const DaemonId &, Message &&) {};
    handlers.onHostList = [] {};
    handlers.onTerminate = [] {};
    handlers.fillStatus = [](nlohmann::json &) {};
    handlers.isReady = [] { return false; };
    auto daemon = Daemon::open(loop, clock, settings, std::move(handlers));
    REQUIRE(daemon.index() == 0);
    Timer end(loop, [&] { loop.stop(); });
    end.startOnce(seconds(2));
    loop.run();
    CHECK(received[0] >= 1);
    CHECK(firstAfter[0] < milliseconds(500));
    CHECK(firstAfter[1] < milliseconds(500));
    // Gossip alone sends each of the two live peers at most one datagram each 500 ms, and one of
    // them another in 2 s.
    CHECK(received[0] <= 6);
    CHECK(received[1] >= 7);
}
