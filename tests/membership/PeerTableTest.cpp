#include "membership/PeerTable.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>

using namespace lovagecourse;

namespace {

constexpr std::size_t fleetSize = 40;
constexpr std::size_t entriesPerMessage = 17;
constexpr std::size_t targetsPerRound = 2;
constexpr milliseconds roundInterval{500};

/// 40 daemons that gossip every 500 ms over a network that loses messages.
struct PeerTableFixture
{
    ManualClock clock;
    std::mt19937_64 random{17};
    std::vector<std::unique_ptr<PeerTable>> tables;
    std::vector<bool> running = std::vector<bool>(fleetSize, true);

    PeerTableFixture()
    {
        for (std::size_t i = 0; i < fleetSize; ++i) {
            tables.push_back(std::make_unique<PeerTable>(makeSelf(i, 1)));
            if (i > 0)
                tables[i]->merge({makeSelf(0, 1)}, clock.now());
        }
    }

    static PeerEntry makeSelf(std::size_t index, std::uint64_t incarnation)
    {
        PeerEntry entry;
        entry.daemon = DaemonId("d" + std::to_string(index));
        entry.role = index % 4 == 0 ? DaemonRole::Entry : DaemonRole::Agent;
        entry.incarnation = Incarnation(incarnation);
        entry.datagramEndpoint = {"127.0.0.1", static_cast<std::uint16_t>(23200 + index)};
        return entry;
    }

    void gossipRound(unsigned lossPercent)
    {
        clock.advance(roundInterval);
        for (std::size_t i = 0; i < fleetSize; ++i) {
            if (!running[i])
                continue;
            tables[i]->expire(clock.now());
            const auto entries = tables[i]->gossipEntries(entriesPerMessage, random);
            for (const Endpoint &target : tables[i]->gossipTargets(targetsPerRound, random)) {
                const std::size_t receiver = target.port - 23200U;
                if (running[receiver] && random() % 100 >= lossPercent)
                    tables[receiver]->merge(entries, clock.now());
            }
        }
    }

    /// Number of running daemons that consider the daemon live.
    std::size_t countPeersSeeingLive(std::size_t index) const
    {
        const DaemonId name("d" + std::to_string(index));
        std::size_t count = 0;
        for (std::size_t i = 0; i < fleetSize; ++i)
            if (running[i] && i != index && tables[i]->findEndpoint(name))
                ++count;
        return count;
    }
};

} // namespace

// Guards against running daemons that stay unknown to their peers, or are considered dead, when
// datagrams are lost.
TEST_CASE_METHOD(PeerTableFixture, "peer table, gossip with loss, converges")
{
    random.seed(GENERATE(1U, 2U, 3U, 4U, 5U));
    for (int round = 0; round < 20; ++round)
        gossipRound(20);
    for (std::size_t i = 0; i < fleetSize; ++i)
        CHECK(tables[i]->livePeers().size() >= fleetSize - 2);
    CHECK(tables[1]->liveEntryDaemons().size() >= fleetSize / 4 - 1);
}

// Guards against dead daemons that stay live because peers keep gossiping about them.
TEST_CASE_METHOD(PeerTableFixture, "peer table, daemon dies, vanishes everywhere and stays away")
{
    random.seed(GENERATE(1U, 2U, 3U, 4U, 5U));
    for (int round = 0; round < 20; ++round)
        gossipRound(10);
    running[7] = false;
    // The liveness timeout of 10 s, plus 5 s until its last heartbeat no longer spreads.
    for (int round = 0; round < 30; ++round)
        gossipRound(10);
    for (int round = 0; round < 140; ++round) {
        CHECK(countPeersSeeingLive(7) == 0);
        gossipRound(10);
    }
}

// Guards against a restarted daemon whose entry is rejected in favour of, or overwritten by, that
// of its former incarnation, which had a higher heartbeat.
TEST_CASE_METHOD(PeerTableFixture, "peer table, new incarnation, wins and the older never returns")
{
    PeerTable table(makeSelf(0, 1));
    PeerEntry old = makeSelf(1, 5);
    old.heartbeat = 1000;
    table.merge({old}, clock.now());
    PeerEntry restarted = makeSelf(1, 6);
    restarted.heartbeat = 1;
    restarted.datagramEndpoint.port = 23299;
    table.merge({restarted}, clock.now());
    old.heartbeat = 2000;
    table.merge({old}, clock.now());
    REQUIRE(table.findEndpoint(DaemonId("d1")));
    CHECK(table.findEndpoint(DaemonId("d1"))->port == 23299);

    clock.advance(seconds(10));
    old.heartbeat = 3000;
    table.merge({old, restarted}, clock.now());
    table.expire(clock.now());
    CHECK(table.findEndpoint(DaemonId("d1")) == nullptr);
    table.merge({old, restarted}, clock.now());
    CHECK(table.livePeers().empty());
}

// Guards against entries from peers that overwrite a daemon's own entry.
TEST_CASE_METHOD(PeerTableFixture, "peer table, own entry from others, is ignored")
{
    PeerTable table(makeSelf(0, 1));
    table.setSelf(LogOffset(9), true);
    table.merge({makeSelf(0, 99)}, clock.now());
    CHECK(table.livePeers().empty());
    const auto entries = table.gossipEntries(5, random);
    REQUIRE(entries.size() == 1);
    CHECK(entries[0].incarnation == Incarnation(1));
    CHECK(entries[0].heartbeat == 1);
    CHECK(entries[0].configurationOffset == LogOffset(9));
    CHECK(entries[0].leaving);
    CHECK(table.gossipEntries(5, random)[0].heartbeat == 2);
}
