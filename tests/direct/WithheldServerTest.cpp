#include "direct/DirectRouterFixture.h"
#include "wire/ReportHash.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>

using namespace lovagecourse;
using test::CallerAnswer;
using test::DirectRouterFixture;
using test::headerValue;
using test::ScriptedServer;

namespace {

const std::string leavingHeaders = "X-Lovagecourse-Server-Stamp: st\r\nServer-Leaving: 1\r\n";
const std::string pauseHeaders = "X-Lovagecourse-Not-Executed: 1\r\nRetry-After: 1\r\n";

struct WithheldServerFixture : DirectRouterFixture
{
    ScriptedServer &
    addAnsweringServer(int status = 200,
                       const std::string &extra = "X-Lovagecourse-Server-Stamp: st\r\n")
    {
        return addServer([status, extra](auto &connection, const std::string &request) {
            connection.send(answer(request, status, "whole", extra));
        });
    }

    void callTimes(int count)
    {
        for (int i = 0; i < count; ++i)
            call("POST", "/unsafe/x", {}, "b");
    }

    void hear(std::size_t server, bool isLeaving, std::optional<milliseconds> pause = {})
    {
        ServerAnswer words;
        words.isLeaving = isLeaving;
        words.pause = pause;
        words.notExecuted = pause.has_value();
        const ServerId id = entries[server].id;
        pool.onWords(AnswerOrigin{id, pool.runOf(id), clock.now(), "id-0"}, words, clock.now());
    }

    void list(std::size_t server)
    {
        pool.apply(RegistrationChange{entries[server].id, entries[server], {}}, clock.now());
    }

    void unlist(std::size_t server)
    {
        pool.apply(RegistrationChange{entries[server].id, std::nullopt, {}}, clock.now());
    }
};

} // namespace

// Guards against requests to a server that has said in its answers that it leaves, while the store
// is away or still lists it as ready.
TEST_CASE_METHOD(WithheldServerFixture,
                 "withheld server, answer says it leaves, gets no further request")
{
    const ScriptedServer &leaving = addAnsweringServer(200, leavingHeaders);
    const ScriptedServer &staying = addAnsweringServer();
    callTimes(8);
    REQUIRE(leaving.requests().size() <= 1);
    CHECK(staying.requests().size() >= 7);
    list(0);
    unlist(0);
    list(0);
    callTimes(8);
    CHECK(leaving.requests().size() <= 1);
}

// Guards against a new run that is taken for the one that left, and against a late answer of the
// old one.
TEST_CASE_METHOD(WithheldServerFixture,
                 "withheld server, new run of a server that left, gets requests")
{
    addAnsweringServer();
    const ServerRunHash oldRun = pool.runOf(entries[0].id);
    hear(0, true);
    CHECK_FALSE(pool.accepts(entries[0].id, clock.now()));
    entries[0].startedMs = 17;
    list(0);
    CHECK(pool.accepts(entries[0].id, clock.now()));
    ServerAnswer late;
    late.isLeaving = true;
    pool.onWords(AnswerOrigin{entries[0].id, oldRun, clock.now(), "id-0"}, late, clock.now());
    CHECK(pool.accepts(entries[0].id, clock.now()));
}

// Guards against a request that was chosen before the answer with the leave and is sent after it.
TEST_CASE_METHOD(WithheldServerFixture,
                 "withheld server, leaves before a request is sent, another gets it")
{
    addAnsweringServer();
    addAnsweringServer();
    const auto got = start("POST", "/unsafe/x", {}, "b");
    const TimePoint limit = clock.now() + seconds(2);
    const std::size_t chosen = waitUntilChosen();
    hear(chosen, true);
    while (!got->isDone && clock.now() < limit)
        runFor(milliseconds(10));
    CHECK(servers[chosen]->requests().empty());
    CHECK(got->status == 200);
}

// Guards against requests to a server that has asked for a pause, and against a server that gets no
// requests after it.
TEST_CASE_METHOD(WithheldServerFixture, "withheld server, pause, gets requests after its end only")
{
    const ScriptedServer &pausing = addAnsweringServer(503, pauseHeaders);
    const CallerAnswer first = call("POST", "/unsafe/x", {}, "b");
    CHECK(first.status == 503);
    REQUIRE(pausing.requests().size() == 1);
    const TimePoint begin = clock.now();
    const CallerAnswer second = call("POST", "/unsafe/x", {}, "b");
    CHECK(second.status == 503);
    CHECK(clock.now() - begin < milliseconds(100));
    // Not before the pause is over, spread over a time as long as the pause.
    const double retryAfter = std::stod(std::string(findHeader(second.headers, "retry-after")));
    CHECK(retryAfter > 0.8);
    CHECK(retryAfter < 2.1);
    CHECK(pausing.requests().size() == 1);
    runFor(milliseconds(1050));
    call("POST", "/unsafe/x", {}, "b");
    CHECK(pausing.requests().size() == 2);
}

// Guards against an answer of someone else, or one without the server's signature, that takes a
// server out.
TEST_CASE_METHOD(WithheldServerFixture, "withheld server, answer is not its own, goes on")
{
    addServer([](auto &connection, const std::string &) {
        connection.send("HTTP/1.1 200 OK\r\nX-Lovagecourse-Attempt-Id: other\r\n"
                        "X-Lovagecourse-Server-Stamp: st\r\nServer-Leaving: 1\r\n"
                        "Content-Length: 0\r\n\r\n");
    });
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 502);
    CHECK(pool.accepts(entries[0].id, clock.now()));
}

// Guards against requests after a leave or in a pause, and against a server without requests after
// its pause, in any order of answers, re-reads of the list, store losses and new runs.
TEST_CASE_METHOD(WithheldServerFixture, "withheld server, random histories, keeps to what was said")
{
    addAnsweringServer();
    const ServerId id = entries[0].id;
    struct Said
    {
        bool isLeaving = false;
        TimePoint pausedUntil;
    };
    for (unsigned seed = 1; seed <= 1000; ++seed) {
        std::mt19937 random(seed);
        const auto pick = [&](int below) { return static_cast<int>(random() % below); };
        TimePoint now = clock.now();
        bool isListed = true;
        entries[0].startedMs = 10000ULL * seed;
        list(0);
        Said said;
        for (int i = 0; i < 40; ++i) {
            now += milliseconds(pick(700));
            ServerAnswer heard;
            AnswerOrigin origin{id, pool.runOf(id), now, "id-0"};
            switch (pick(7)) {
            case 0:
                heard.isLeaving = pick(4) == 0;
                said.isLeaving = said.isLeaving || (isListed && heard.isLeaving);
                break;
            case 1:
                heard.notExecuted = true;
                heard.pause = milliseconds(pick(3000));
                said.pausedUntil = isListed ? now + *heard.pause : said.pausedUntil;
                break;
            case 2:
                // A new run, whose registration replaces the old one's.
                ++entries[0].startedMs;
                isListed = true;
                said = Said();
                pool.apply(RegistrationChange{id, entries[0], {}}, now);
                origin.run = pool.runOf(id);
                break;
            case 3:
                isListed = !isListed;
                pool.apply(RegistrationChange{id,
                                              isListed ? std::optional(entries[0]) : std::nullopt,
                                              {}},
                           now);
                origin.run = pool.runOf(id);
                break;
            case 4:
                // A late answer of another run.
                heard.isLeaving = true;
                origin.run += 1;
                break;
            default:
                break;
            }
            pool.onWords(origin, heard, now);
            CAPTURE(seed, i);
            const bool isWanted = isListed && !said.isLeaving && now >= said.pausedUntil;
            REQUIRE(pool.accepts(id, now) == isWanted);
        }
        unlist(0);
    }
}

// Guards against a server that gets more requests than it says it takes.
TEST_CASE_METHOD(WithheldServerFixture,
                 "withheld server, answer names a limit, gets no more than that")
{
    constexpr double perSecond = 10;
    const ScriptedServer &limited =
            addAnsweringServer(200, "X-Lovagecourse-Server-Stamp: st\r\nServer-Limit: 10.0\r\n");
    const ScriptedServer &other = addAnsweringServer();
    callTimes(20);
    REQUIRE_FALSE(limited.requests().empty());
    const std::size_t before = limited.requests().size();
    const TimePoint start = clock.now();
    while (clock.now() - start < milliseconds(1000))
        call("POST", "/unsafe/x", {}, "b");
    const double allowed = 1.5 * perSecond * toMs(clock.now() - start) / 1000 + 5;
    CHECK(static_cast<double>(limited.requests().size() - before) <= allowed);
    // The rest goes elsewhere.
    CHECK(other.requests().size() > limited.requests().size());
}

// Guards against callers that wait or are told to come back too early when all servers are at their
// limits, and against limits that are not used.
TEST_CASE_METHOD(WithheldServerFixture,
                 "withheld server, all at their limits, the rest is rejected at once")
{
    const ScriptedServer &limited =
            addAnsweringServer(200, "X-Lovagecourse-Server-Stamp: st\r\nServer-Limit: 20\r\n");
    callTimes(1);
    const std::size_t before = limited.requests().size();
    const TimePoint start = clock.now();
    std::size_t rejected = 0;
    double longestRetryAfter = 0;
    std::chrono::nanoseconds longestRejection{0};
    while (clock.now() - start < milliseconds(1000)) {
        const TimePoint sentAt = clock.now();
        const CallerAnswer got = call("POST", "/unsafe/x", {}, "b");
        if (got.status != 503)
            continue;
        ++rejected;
        longestRejection = std::max(longestRejection, clock.now() - sentAt);
        const double retryAfter = std::stod(std::string(findHeader(got.headers, "retry-after")));
        CHECK(retryAfter > 0);
        longestRetryAfter = std::max(longestRetryAfter, retryAfter);
    }
    const double seconds = toMs(clock.now() - start) / 1000;
    const std::size_t taken = limited.requests().size() - before;
    CHECK(static_cast<double>(taken) <= 20 * seconds + 1);
    CHECK(taken >= 10);
    CHECK(rejected > 0);
    CHECK(longestRetryAfter < 3);
    CHECK(longestRejection < milliseconds(200));
}

// Guards against a limit that outlives what the server says, or that ends by an answer to an
// earlier request or by words that can't be read.
TEST_CASE_METHOD(WithheldServerFixture, "withheld server, limit no longer named, ends")
{
    addAnsweringServer();
    const ServerId id = entries[0].id;
    const auto hearLimit = [&](std::optional<double> perSecond, bool isNamed, TimePoint sentAt) {
        ServerAnswer words;
        words.limitPerSecond = perSecond;
        words.namesLimit = isNamed;
        pool.onWords(AnswerOrigin{id, pool.runOf(id), sentAt, "id-0"}, words, clock.now());
    };
    const TimePoint before = clock.now();
    hearLimit(1, true, clock.now());
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 503);
    list(0);
    hearLimit(std::nullopt, true, clock.now());
    hearLimit(std::nullopt, false, before);
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 503);
    hearLimit(std::nullopt, false, clock.now());
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 503);
    pool.updateLimitParts(RouterCounts{}, clock.now() + limitWindow);
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 200);
    // A new run of the server has said nothing yet.
    hearLimit(1, true, clock.now());
    ++entries[0].startedMs;
    list(0);
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 200);
}

// Guards against a router that learns a limit only by exceeding it.
TEST_CASE_METHOD(WithheldServerFixture, "withheld server, other router tells a limit, is kept")
{
    addAnsweringServer();
    const ServerId id = entries[0].id;
    HeardLimit heard{pool.runOf(id), reportHash(id.value), 1., clock.now()};
    pool.updateLimitParts(RouterCounts{4, 4}, clock.now());
    pool.onLimitReported(heard, clock.now());
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 503);
    REQUIRE(pool.heardLimits(8, clock.now()).size() == 1);
    heard.perSecond.reset();
    pool.onLimitReported(heard, clock.now());
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 503);
    heard.heardAt = clock.now();
    pool.onLimitReported(heard, clock.now());
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 503);
    pool.updateLimitParts(RouterCounts{4, 4}, clock.now() + limitWindow);
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 200);
    // It is passed on that the limit has ended, for routers that have missed it.
    REQUIRE(pool.heardLimits(8, clock.now()).size() == 1);
    CHECK_FALSE(pool.heardLimits(8, clock.now())[0].perSecond);
    heard.run += 1;
    heard.perSecond = 1;
    heard.heardAt = clock.now();
    pool.onLimitReported(heard, clock.now());
    CHECK(call("POST", "/unsafe/x", {}, "b").status == 200);
}

// Guards against reports that grow with the number of limited servers.
TEST_CASE_METHOD(WithheldServerFixture,
                 "withheld server, many limits, the latest changes are told first")
{
    for (int i = 0; i < 5; ++i)
        addAnsweringServer();
    const TimePoint now = clock.now();
    const auto tell = [&](std::size_t server, double perSecond, TimePoint heardAt) {
        const ServerId id = entries[server].id;
        pool.onLimitReported(HeardLimit{pool.runOf(id), reportHash(id.value), perSecond, heardAt},
                             now);
    };
    for (std::size_t server = 0; server < 5; ++server)
        tell(server, 10, now + milliseconds(server));
    // Named again, unchanged.
    tell(0, 10, now + milliseconds(50));
    tell(2, 7, now + milliseconds(60));
    const std::vector<HeardLimit> heard = pool.heardLimits(2, now);
    REQUIRE(heard.size() == 2);
    CHECK(heard[0].server == reportHash("s3"));
    CHECK(heard[1].server == reportHash("s5"));
}
