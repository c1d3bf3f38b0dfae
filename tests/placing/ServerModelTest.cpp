#include "placing/ServerModel.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct ServerModelFixture
{
    PrefillSpeed speed{100};
    ServerModel model;
    TimePoint now{std::chrono::hours(1)};
    PeerLoad noPeers;
    static constexpr unsigned slots = 128;

    SendNumber send(double uncachedTokens)
    {
        return model.onSent(speed, PrefillWork{uncachedTokens, 0}, noPeers, slots, now);
    }
    double wait(const PeerLoad &peers) { return model.waitMs(speed, peers, slots, now); }
    double wait() { return wait(noPeers); }
};

} // namespace

// Guards against a wait that ignores the prefill of prompts sent before.
TEST_CASE_METHOD(ServerModelFixture, "server model, long prompt sent, wait is its prefill time")
{
    send(20000);
    CHECK(wait() == Approx(200));
}

// Guards against a wait that does not fall as the prefill progresses.
TEST_CASE_METHOD(ServerModelFixture, "server model, time passes, wait falls with the prefill")
{
    send(20000);
    now += milliseconds(150);
    CHECK(wait() == Approx(50));
}

// Guards against a stalled server that looks idle because the prefill of its backlog counts as
// done.
TEST_CASE_METHOD(ServerModelFixture, "server model, answer overdue, wait grows with the delay")
{
    send(20000);
    now += milliseconds(1500);
    CHECK(model.overdueMs(now) > 1000);
    CHECK(wait() > 1200);
}

// Guards against routers that detect a stalled server only by their own overdue requests.
TEST_CASE_METHOD(ServerModelFixture, "server model, peer's answer overdue, wait counts it")
{
    PeerLoad peers;
    peers.backlogMs = 30;
    peers.overdueMs = 400;
    CHECK(wait(peers) == Approx(430));
}

// Guards against a prediction that ignores the load of other programs on the server's host.
TEST_CASE_METHOD(ServerModelFixture, "server model, slowness reported, wait grows by it")
{
    model.onReportedSlowness(2.5, now);
    send(10000);
    CHECK(wait() == Approx(250));
}

// Guards against a short slowdown that counts forever.
TEST_CASE_METHOD(ServerModelFixture, "server model, old slowness report, mean slowness counts")
{
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(50);
        model.onReportedSlowness(1, now);
    }
    now += milliseconds(50);
    model.onReportedSlowness(2.5, now);
    CHECK(model.slowness(now) == Approx(2.5));
    now += seconds(5);
    CHECK(model.slowness(now) < 1.1);
}

// Guards against old reports that overwrite newer ones.
TEST_CASE_METHOD(ServerModelFixture, "server model, older report after newer, keeps the newer")
{
    model.onReportedSlowness(1, now);
    model.onReportedSlowness(3, now - milliseconds(100));
    CHECK(model.reportedSlowness() == 1);
}

// Guards against requests that are sent to a crashed server one after the other.
TEST_CASE_METHOD(ServerModelFixture, "server model, unreachable, in backoff until it may be back")
{
    model.onUnreachable(now);
    CHECK(model.isInBackoff(now));
    now += seconds(3);
    CHECK_FALSE(model.isInBackoff(now));
}

// Guards against a failing server that gets as many requests as the others because it fails fast.
TEST_CASE_METHOD(ServerModelFixture, "server model, half of answers fail, failure rate shows it")
{
    for (int i = 0; i < 60; ++i)
        model.onOutcome(i % 2 == 0);
    CHECK(model.failureRate() == Approx(0.5).margin(0.1));
}

// Guards against a long prompt that is predicted to take as long as short ones with as many tokens
// in total.
TEST_CASE("prefill speed, attention cost in answers, is learned apart from token cost")
{
    PrefillSpeed speed(50);
    const auto truth = [](const PrefillWork &work) {
        const double pairs = work.uncachedTokens * (work.cachedTokens + work.uncachedTokens / 2);
        return 30 + work.uncachedTokens / 112 + pairs * 0.2e-6;
    };
    for (int i = 0; i < 400; ++i) {
        const PrefillWork work{500. + (i * 7919) % 40000, (i % 3) * 6000.};
        speed.train(work, truth(work));
    }
    for (const PrefillWork &work : {PrefillWork{3000, 13000}, PrefillWork{50000, 0}})
        CHECK(speed.baseMs() + speed.prefillMs(work) == Approx(truth(work)).epsilon(0.1));
}

// Guards against a router with event loop delay that reports servers as stalled to all others.
TEST_CASE_METHOD(ServerModelFixture, "server model, event loop delayed, answer is not overdue")
{
    send(20000);
    now += milliseconds(700);
    REQUIRE(model.overdueMs(now) > 0);
    model.setLoopDelay(300);
    CHECK(model.overdueMs(now) == 0);
}

// Guards against a prefill speed that includes the event loop delay of a busy router.
TEST_CASE_METHOD(ServerModelFixture, "server model, measured time not exact, speed stays")
{
    const double before = speed.baseMs();
    const SendNumber number = send(100);
    now += milliseconds(300);
    model.onFirstByte(speed, number, now, false);
    CHECK(speed.baseMs() == before);
    CHECK(model.slowness(now) == 1);
}
