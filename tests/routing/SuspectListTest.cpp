#include "routing/SuspectList.h"
#include "wire/Codec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace lovagecourse;

namespace {

struct SuspectListFixture
{
    SuspectList list;
    TimePoint now{std::chrono::hours(1)};
    Fingerprint request{11};
};

} // namespace

// Guards against a request that crashes one server after the other, and against a crash that counts
// twice because it was reported twice.
TEST_CASE_METHOD(SuspectListFixture,
                 "suspect list, request crashes servers, runs alone and is then refused")
{
    CHECK(list.decision(request, now) == SuspectDecision::Clear);
    list.onCrash({request}, 1, now);
    list.onCrash({request}, 1, now);
    CHECK(list.decision(request, now) == SuspectDecision::RunAlone);
    list.onCompleted(request, now);
    CHECK(list.decision(request, now) == SuspectDecision::Clear);
    list.onCrash({request}, 2, now);
    list.onCompleted(request, now);
    CHECK(list.decision(request, now) == SuspectDecision::Refuse);
}

// Guards against the refusal of a harmless request whose copies ran beside two requests that crash
// servers, and against a request that is never refused because others run beside it at each crash.
TEST_CASE_METHOD(SuspectListFixture,
                 "suspect list, two crashes beside other requests, refused after one alone")
{
    const Fingerprint other(12);
    list.onCrash({request, other}, 1, now);
    list.onCrash({request, Fingerprint(13)}, 2, now);
    CHECK(list.decision(request, now) == SuspectDecision::RunAlone);
    SuspectList peer;
    peer.merge(list.recent(now, 10), now);
    list.onCompleted(request, now);
    CHECK(list.decision(request, now) == SuspectDecision::Clear);
    peer.onCrash({request, request}, 3, now);
    CHECK(peer.decision(request, now) == SuspectDecision::Refuse);
    list.merge(peer.recent(now, 10), now);
    CHECK(list.decision(request, now) == SuspectDecision::Refuse);
    CHECK(list.decision(other, now) == SuspectDecision::RunAlone);
}

// Guards against entries that never expire because daemons send them back and forth.
TEST_CASE_METHOD(SuspectListFixture, "suspect list, notices with a delay both ways, still expires")
{
    SuspectList peer;
    list.onCrash({request}, 1, now);
    const TimePoint end = now + std::chrono::minutes(10);
    for (; now < end; now += seconds(1)) {
        const auto there = list.recent(now, 10);
        const auto back = peer.recent(now, 10);
        peer.merge(there, now + seconds(1));
        list.merge(back, now + seconds(1));
    }
    CHECK(list.decision(request, now) == SuspectDecision::Clear);
    CHECK(peer.decision(request, now) == SuspectDecision::Clear);
    list.expire(now);
    CHECK(list.size() == 0);
}

// Guards against daemons that treat a request differently because notices arrived in another order.
TEST_CASE_METHOD(SuspectListFixture, "suspect list, notices in any order and repeated, same result")
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 200; ++round) {
        std::vector<CrashSuspect> notices;
        for (int i = 0; i < 8; ++i) {
            const Fingerprint fingerprint(random() % 3);
            const auto expires = static_cast<std::uint32_t>(random() % 700000);
            notices.push_back({fingerprint,
                               {random() % 9, random() % 9},
                               random() % 2 == 0,
                               expires,
                               random() % 4 == 0});
        }
        SuspectList first;
        SuspectList second;
        first.merge(notices, now);
        std::shuffle(notices.begin(), notices.end(), random);
        second.merge(notices, now);
        second.merge(notices, now);
        CHECK(encodeMessages({CrashSuspectNotice{first.recent(now, 10)}})
              == encodeMessages({CrashSuspectNotice{second.recent(now, 10)}}));
    }
}

// Guards against notices that leave out the most recently changed suspects.
TEST_CASE_METHOD(SuspectListFixture, "suspect list, more entries than fit, newest change first")
{
    list.onCrash({Fingerprint(1)}, 1, now);
    list.onCrash({Fingerprint(2)}, 1, now + seconds(1));
    list.onCompleted(Fingerprint(1), now + seconds(2));
    const auto recent = list.recent(now + seconds(3), 1);
    REQUIRE(recent.size() == 1);
    CHECK(recent.front().fingerprint == Fingerprint(1));
}
