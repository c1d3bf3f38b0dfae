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

// Guards against reports that go only to routers that were heard of, so that two never meet.
TEST_CASE_METHOD(RouterPeersFixture,
                 "router peers, listed but silent, gets a report in some rounds")
{
    peers.onListed(router, address);
    CHECK(peers.heard(now).empty());
    CHECK(peers.targets(now) == std::vector<Endpoint>{address});
    CHECK(peers.targets(now).empty());
    CHECK(peers.liveCount(now) == 1);
    peers.onHeard(router, address, now);
    CHECK(peers.targets(now) == std::vector<Endpoint>{address});
    CHECK(peers.liveCount(now) == 2);
}

// Guards against a share of the repeats that stays with a router that has stopped.
TEST_CASE_METHOD(RouterPeersFixture, "router peers, router leaves, no longer counts")
{
    peers.onHeard(router, address, now);
    peers.onLeaving(router);
    peers.onLeaving(router);
    CHECK(peers.heard(now).empty());
    CHECK(peers.liveCount(now) == 1);
}
