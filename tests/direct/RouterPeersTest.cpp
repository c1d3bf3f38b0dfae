#include "direct/RouterPeers.h"

#include <catch2/catch.hpp>

#include <set>

using namespace lovagecourse;

namespace {

struct RouterPeersFixture
{
    RouterPeers peers;
    TimePoint now{std::chrono::hours(1)};
    const Endpoint address{"10.0.0.1", 7400};
    const DaemonId router{"r"};
};

/// Router "m" of data centre "a" with the routers "a1" (large), "a2" and "b1" to "b3".
struct TwoDataCentresFixture
{
    RouterPeers peers{DaemonId("m"), DataCentreId("a"), 90};
    TimePoint now{std::chrono::hours(1)};

    static Endpoint address(int host) { return {"10.0.0." + std::to_string(host), 7400}; }

    TwoDataCentresFixture()
    {
        peers.onRegistered(DaemonId("a1"), address(1), DataCentreId("a"));
        peers.onRegistered(DaemonId("a2"), address(2), DataCentreId("a"));
        for (int host = 1; host <= 3; ++host)
            peers.onRegistered(DaemonId("b" + std::to_string(host)), address(10 + host),
                               DataCentreId("b"));
    }
};

} // namespace

// Guards against report traffic that grows with the number of all routers of the fleet.
TEST_CASE_METHOD(TwoDataCentresFixture,
                 "router peers, several data centres, reports only go to the own one")
{
    CHECK(peers.knownPeers() == std::vector<Endpoint>{address(1), address(2)});
    peers.onPresence(DaemonId("a2"), address(2), 90, now);
    CHECK(peers.activePeers(now) == std::vector<Endpoint>{address(2)});
    CHECK(peers.isMember(DaemonId("a2")));
    CHECK(peers.isInOtherDataCentre(DaemonId("b1")));
    CHECK_FALSE(peers.isInOtherDataCentre(DaemonId("unknown")));
}

// Guards against a data centre whose load the others don't learn after its relay died.
TEST_CASE_METHOD(TwoDataCentresFixture, "router peers, relay falls silent, next router takes over")
{
    CHECK(peers.isRelay(now));
    CHECK(peers.onPresence(DaemonId("a1"), address(1), 500, now));
    CHECK_FALSE(peers.onPresence(DaemonId("a1"), address(1), 500, now));
    CHECK_FALSE(peers.isRelay(now + seconds(1)));
    CHECK(peers.isRelay(now + seconds(2)));
    // Among equal hosts the lower name relays.
    peers.onPresence(DaemonId("a2"), address(2), 90, now + seconds(2));
    CHECK_FALSE(peers.isRelay(now + seconds(2)));
    peers.onLeaving(DaemonId("a2"));
    CHECK(peers.isRelay(now + seconds(2)));
}

// Guards against reports that are sent to a dead router of another data centre for ever.
TEST_CASE_METHOD(TwoDataCentresFixture,
                 "router peers, other relay unknown or silent, its routers are tried in turn")
{
    std::vector<Endpoint> tried(3);
    for (Endpoint &endpoint : tried)
        endpoint = peers.relayTargets(now).at(0);
    CHECK(tried == std::vector<Endpoint>{address(11), address(12), address(13)});
    peers.onDataCentreReport(DataCentreId("b"), address(12), 3, now);
    CHECK(peers.relayTargets(now) == std::vector<Endpoint>{address(12)});
    CHECK(peers.relayTargets(now) == std::vector<Endpoint>{address(12)});
    std::set<Endpoint> triedLater;
    for (int i = 0; i < 4; ++i)
        triedLater.insert(peers.relayTargets(now + seconds(1)).at(0));
    CHECK(triedLater == std::set<Endpoint>{address(11), address(12), address(13)});
}

// Guards against retry budgets that add up to more than the fleet's.
TEST_CASE_METHOD(TwoDataCentresFixture,
                 "router peers, other data centre reports its routers, they count as live")
{
    peers.onPresence(DaemonId("a1"), address(1), 500, now);
    peers.onDataCentreReport(DataCentreId("b"), address(12), 3, now);
    CHECK(peers.memberCount(now) == 2);
    CHECK(peers.liveCount(now) == 5);
    CHECK(peers.liveCount(now + seconds(61)) == 1);
}

// Guards against two routers that never find each other because each sends reports only to routers
// from which one has arrived.
TEST_CASE_METHOD(RouterPeersFixture,
                 "router peers, registered but inactive, gets a report in probe rounds")
{
    peers.onRegistered(router, address);
    CHECK(peers.activePeers(now).empty());
    CHECK(peers.targets(now) == std::vector<Endpoint>{address});
    CHECK(peers.targets(now).empty());
    CHECK(peers.liveCount(now) == 1);
    peers.onReportReceived(router, address, now);
    CHECK(peers.targets(now) == std::vector<Endpoint>{address});
    CHECK(peers.liveCount(now) == 2);
}

// Guards against a part of the retry budget that stays reserved for a stopped router.
TEST_CASE_METHOD(RouterPeersFixture, "router peers, router shuts down, is not counted as live")
{
    peers.onReportReceived(router, address, now);
    peers.onLeaving(router);
    peers.onLeaving(router);
    CHECK(peers.activePeers(now).empty());
    CHECK(peers.liveCount(now) == 1);
}
