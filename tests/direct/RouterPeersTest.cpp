#include "direct/RouterPeers.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct RouterPeersFixture
{
    RouterPeers peers;
    TimePoint now{std::chrono::hours(1)};
    const Endpoint address{"10.0.0.1", 7400};
    const DaemonId router{"r"};
};

} // namespace

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
