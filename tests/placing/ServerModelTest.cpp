#include "placing/ServerModel.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct ServerModelFixture
{
    ReadingSpeed speed{100};
    ServerModel model;
    TimePoint now{std::chrono::hours(1)};
    PeerLoad noPeers;
    static constexpr unsigned slots = 128;

    SendNumber send(double unreadTokens)
    {
        return model.onSent(speed, PromptWork{unreadTokens, 0}, noPeers, slots, now);
    }
    double wait(const PeerLoad &peers) { return model.waitMs(speed, peers, slots, now); }
    double wait() { return wait(noPeers); }
};

} // namespace

// Guards against prompts that are sent to a server whose engine still reads others.
TEST_CASE_METHOD(ServerModelFixture, "server model, long prompt sent, wait is its reading time")
{
    send(20000);
    CHECK(wait() == Approx(200));
}

// Guards against a wait that stays when the engine has read on.
TEST_CASE_METHOD(ServerModelFixture, "server model, time passes, wait falls as prompts are read")
{
    send(20000);
    now += milliseconds(150);
    CHECK(wait() == Approx(50));
}

// Guards against a stalled server that looks idle because its backlog is thought to be read.
TEST_CASE_METHOD(ServerModelFixture, "server model, answer overdue, wait grows with the delay")
{
    send(20000);
    now += milliseconds(1500);
    CHECK(model.overdueMs(now) > 1000);
    CHECK(wait() > 1200);
}

// Guards against routers that each see a stall only after sending to the server themselves.
TEST_CASE_METHOD(ServerModelFixture, "server model, peer's answer overdue, wait counts it")
{
    PeerLoad peers;
    peers.backlogMs = 30;
    peers.overdueMs = 400;
    CHECK(wait(peers) == Approx(430));
}

// Guards against a prediction that ignores other programs on the server's host.
TEST_CASE_METHOD(ServerModelFixture, "server model, slowness told, wait is as much longer")
{
    model.onSlowness(2.5, now);
    send(10000);
    CHECK(wait() == Approx(250));
}

// Guards against a spell of slowness that is believed for good.
TEST_CASE_METHOD(ServerModelFixture, "server model, slowness told long ago, mean slowness counts")
{
    for (int i = 0; i < 100; ++i) {
        now += milliseconds(50);
        model.onSlowness(1, now);
    }
    now += milliseconds(50);
    model.onSlowness(2.5, now);
    CHECK(model.slowness(now) == Approx(2.5));
    now += seconds(5);
    CHECK(model.slowness(now) < 1.1);
}

// Guards against old reports that overwrite newer ones.
TEST_CASE_METHOD(ServerModelFixture, "server model, older report after newer, keeps the newer")
{
    model.onSlowness(1, now);
    model.onSlowness(3, now - milliseconds(100));
    CHECK(model.toldSlowness() == 1);
}

// Guards against requests that wait for a crashed server one after the other.
TEST_CASE_METHOD(ServerModelFixture, "server model, unreachable, is avoided until it may be back")
{
    model.onUnreachable(now);
    CHECK(model.isAvoided(now));
    now += seconds(3);
    CHECK_FALSE(model.isAvoided(now));
}

// Guards against a failing server that gets as much as the others because it answers fast.
TEST_CASE_METHOD(ServerModelFixture, "server model, half of answers fail, failure share shows it")
{
    for (int i = 0; i < 60; ++i)
        model.onOutcome(i % 2 == 0);
    CHECK(model.failureShare() == Approx(0.5).margin(0.1));
}

// Guards against a long prompt that is priced like short ones of the same sum of tokens.
TEST_CASE("reading speed, attention cost in answers, is learned apart from token cost")
{
    ReadingSpeed speed(50);
    const auto truth = [](const PromptWork &work) {
        const double pairs = work.unreadTokens * (work.keptTokens + work.unreadTokens / 2);
        return 30 + work.unreadTokens / 112 + pairs * 0.2e-6;
    };
    for (int i = 0; i < 400; ++i) {
        const PromptWork work{500. + (i * 7919) % 40000, (i % 3) * 6000.};
        speed.learn(work, truth(work));
    }
    for (const PromptWork &work : {PromptWork{3000, 13000}, PromptWork{50000, 0}})
        CHECK(speed.baseMs() + speed.readMs(work) == Approx(truth(work)).epsilon(0.1));
}

// Guards against a busy router that makes all others believe that servers stall.
TEST_CASE_METHOD(ServerModelFixture, "server model, own process late, answer is not overdue")
{
    send(20000);
    now += milliseconds(700);
    REQUIRE(model.overdueMs(now) > 0);
    model.setOwnDelay(300);
    CHECK(model.overdueMs(now) == 0);
}

// Guards against a speed that a busy router learns from its own delay.
TEST_CASE_METHOD(ServerModelFixture, "server model, time of the answer not exact, speed stays")
{
    const double before = speed.baseMs();
    const SendNumber number = send(100);
    now += milliseconds(300);
    model.onFirstByte(speed, number, now, false);
    CHECK(speed.baseMs() == before);
    CHECK(model.slowness(now) == 1);
}
