#include "placing/CrashTraits.h"

#include <catch2/catch.hpp>

#include <random>

using namespace lovagecourse;

namespace {

struct CrashTraitsFixture
{
    CrashTraits traits;
    TimePoint now{std::chrono::hours(1)};

    /// A request with the trait is sent and breaks 200 ms later.
    void crash(TraitHash trait, ServerRunHash serverRun)
    {
        const TimePoint sentAt = now;
        now += milliseconds(200);
        traits.onCrash(TraitCrash{trait, serverRun, sentAt, now}, now);
        now += milliseconds(1);
    }

    bool isRejected(TraitHash trait) const { return traits.findRejected({trait}, now).has_value(); }
};

} // namespace

// Guards against requests of one kind that crash one server after the other.
TEST_CASE_METHOD(CrashTraitsFixture, "crash traits, three servers crash one by one, rejected")
{
    crash(7, 1);
    crash(7, 2);
    CHECK_FALSE(isRejected(7));
    crash(7, 3);
    CHECK(isRejected(7));
    CHECK_FALSE(isRejected(8));
    CHECK(traits.rejectedFor(7, now) > std::chrono::minutes(9));
    now += std::chrono::minutes(11);
    CHECK_FALSE(isRejected(7));
    traits.expire(now);
    CHECK(traits.isEmpty());
}

// Guards against the rejection of sound requests that share their caller or a part of their prompts
// with those that crash servers.
TEST_CASE_METHOD(CrashTraitsFixture,
                 "crash traits, answers with a shared trait begin, not rejected")
{
    constexpr TraitHash crashing = 1;
    constexpr TraitHash shared = 2;
    for (ServerRunHash server = 1; server <= 6; ++server) {
        crash(crashing, server);
        traits.onCrash(TraitCrash{shared, server, now - milliseconds(200), now}, now);
        now += milliseconds(50);
        traits.onBegun(shared, now);
        CHECK_FALSE(isRejected(shared));
    }
    CHECK(isRejected(crashing));
}

// Guards against the rejection of requests that broke because a host lost its connections.
TEST_CASE_METHOD(CrashTraitsFixture, "crash traits, many servers break off at once, not rejected")
{
    for (ServerRunHash server = 1; server <= 6; ++server)
        traits.onCrash(TraitCrash{7, server, now, now + milliseconds(200 + server)},
                       now + seconds(1));
    now += seconds(1);
    CHECK_FALSE(isRejected(7));
}

// Guards against one faulty server on whose account a kind of requests is rejected.
TEST_CASE_METHOD(CrashTraitsFixture,
                 "crash traits, one server breaks off again and again, not rejected")
{
    for (int i = 0; i < 10; ++i)
        crash(7, 1);
    CHECK_FALSE(isRejected(7));
}

// Guards against a report that arrives after the answer that has cleared its trait, and against
// a rejection that no answer can end.
TEST_CASE_METHOD(CrashTraitsFixture,
                 "crash traits, answer begins after a rejection, cleared for good")
{
    crash(7, 1);
    crash(7, 2);
    const TraitCrash late{7, 3, now, now + milliseconds(200)};
    crash(7, 3);
    REQUIRE(isRejected(7));
    CHECK(traits.onBegun(7, now));
    CHECK_FALSE(isRejected(7));
    CHECK_FALSE(traits.onCrash(late, now));
    CHECK_FALSE(traits.onBegun(7, now));
    CHECK(traits.isEmpty());
}

// Guards against routers that judge differently because reports arrived in another order.
TEST_CASE_METHOD(CrashTraitsFixture, "crash traits, reports in any order and repeated, same result")
{
    std::mt19937_64 random(5);
    for (int round = 0; round < 200; ++round) {
        std::vector<TraitCrash> reports;
        for (int i = 0; i < 8; ++i) {
            const auto sent = milliseconds(random() % 2000);
            reports.push_back({random() % 2, random() % 6, now + sent,
                               now + sent + milliseconds(random() % 400)});
        }
        // Of two reports of one server run, the first that arrives is kept.
        std::sort(reports.begin(), reports.end(), [](const auto &left, const auto &right) {
            return std::pair(left.trait, left.serverRun) < std::pair(right.trait, right.serverRun);
        });
        reports.erase(std::unique(reports.begin(), reports.end(),
                                  [](const auto &left, const auto &right) {
                                      return left.trait == right.trait
                                             && left.serverRun == right.serverRun;
                                  }),
                      reports.end());
        CrashTraits first;
        CrashTraits second;
        const TimePoint end = now + seconds(3);
        for (const TraitCrash &report : reports)
            first.onCrash(report, end);
        std::shuffle(reports.begin(), reports.end(), random);
        for (int repeat = 0; repeat < 2; ++repeat) {
            for (const TraitCrash &report : reports)
                second.onCrash(report, end);
        }
        for (TraitHash trait = 0; trait < 2; ++trait)
            CHECK(first.findRejected({trait}, end) == second.findRejected({trait}, end));
    }
}

// Guards against the rejection of sound requests with a part that has so far come only together
// with the one that crashes servers, and against further crashes while this is found out.
TEST_CASE_METHOD(CrashTraitsFixture, "crash traits, two always come together, one alone is tried")
{
    constexpr TraitHash crashing = 1;
    constexpr TraitHash companion = 2;
    for (ServerRunHash server = 1; server <= 4; ++server) {
        crash(crashing, server);
        traits.onCrash(TraitCrash{companion, server, now - milliseconds(200), now}, now);
    }
    REQUIRE(isRejected(crashing));
    CHECK(traits.decide({companion, crashing}, 0, now) == TraitDecision::Reject);
    CHECK(traits.decide({companion}, 0.99, now) == TraitDecision::RejectForNow);
    CHECK(traits.decide({companion}, 0, now) == TraitDecision::Try);
    CHECK(traits.decide({companion}, 0, now) == TraitDecision::RejectForNow);
    SECTION("answer begins")
    {
        traits.onBegun(companion, now);
        CHECK(traits.decide({companion}, 0.99, now) == TraitDecision::Accept);
        CHECK(traits.decide({companion, crashing}, 0, now) == TraitDecision::Reject);
        CHECK(traits.decide({crashing}, 0, now) == TraitDecision::Reject);
    }
    SECTION("server crashes")
    {
        crash(companion, 5);
        now += seconds(10);
        CHECK(traits.decide({companion}, 0, now) == TraitDecision::Reject);
        CHECK(traits.decide({crashing}, 0, now) == TraitDecision::Try);
    }
}

// Guards against the rejection of requests that were broken off by servers that have not crashed.
TEST_CASE_METHOD(CrashTraitsFixture,
                 "crash traits, server answers later requests, crash not counted")
{
    crash(7, 1);
    crash(7, 2);
    const TimePoint brokenAt = now - milliseconds(1);
    traits.onAlive(2, brokenAt + milliseconds(20), now + milliseconds(100));
    crash(7, 3);
    CHECK_FALSE(isRejected(7));
    // Another router repeats what it has seen.
    traits.onCrash(TraitCrash{7, 2, brokenAt - milliseconds(200), brokenAt}, now);
    CHECK_FALSE(isRejected(7));
    crash(7, 4);
    CHECK(isRejected(7));
    // The server has crashed and started again under its id.
    now += seconds(4);
    traits.onAlive(4, now - milliseconds(20), now);
    CHECK(isRejected(7));
    // Answered, but sent before the crash.
    traits.onAlive(3, TimePoint(), now);
    CHECK(isRejected(7));
}

// Guards against memory and time that grow with each request that breaks.
TEST_CASE_METHOD(CrashTraitsFixture, "crash traits, many requests break once, stay bounded")
{
    crash(7, 1);
    crash(7, 2);
    crash(7, 3);
    constexpr TraitHash requests = 20000;
    for (TraitHash request = 100; request < 100 + requests; ++request) {
        now += milliseconds(10);
        traits.onCrash(TraitCrash{request, request, now - milliseconds(5), now}, now);
    }
    CHECK(traits.crashes(now, requests).size() <= 4003);
    CHECK(isRejected(7));
    // The latest ones are known.
    crash(99 + requests, 2);
    crash(99 + requests, 3);
    CHECK(isRejected(99 + requests));
}

// Guards against two requests that count as the same one.
TEST_CASE("crash traits, whole requests, differ in every field")
{
    const TraitHash trait = wholeRequestTrait("a", "POST", "/x/1", "body");
    CHECK(trait == wholeRequestTrait("a", "POST", "/x/1", "body"));
    CHECK(trait != wholeRequestTrait("b", "POST", "/x/1", "body"));
    CHECK(trait != wholeRequestTrait("a", "GET", "/x/1", "body"));
    CHECK(trait != wholeRequestTrait("a", "POST", "/x/2", "body"));
    CHECK(trait != wholeRequestTrait("a", "POST", "/x/1", "bodies"));
    CHECK(trait != wholeRequestTrait("a", "POST", "/x/1b", "ody"));
}
