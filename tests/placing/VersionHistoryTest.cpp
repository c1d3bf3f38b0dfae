#include "placing/VersionHistory.h"
#include "placing/TakeUp.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace lovagecourse;

namespace {

struct VersionHistoryFixture
{
    VersionHistory history;
    TimePoint now{std::chrono::hours(1)};
    const ServiceId service{"llm"};

    VersionHistoryFixture()
    {
        history.onStarted(now);
        history.onHistoryRead();
    }

    bool add(const std::string &server, const std::string &version)
    {
        return history.onRegistered(ServerId(server), service, SoftwareVersion(version), now);
    }
    void remove(const std::string &server) { history.onRemoved(ServerId(server), now); }
    bool isSole(const std::string &version) const
    {
        return history.soleVersion(service, now) == versionHash(service, SoftwareVersion(version));
    }
};

} // namespace

// Guards against streams of a version that has left just now and go on at the one that remains.
TEST_CASE_METHOD(VersionHistoryFixture,
                 "version history, version has left, counts until its streams have ended")
{
    CHECK_FALSE(add("a", "v1"));
    CHECK(isSole("v1"));
    CHECK(add("b", "v2"));
    CHECK_FALSE(add("c", "v2"));
    CHECK(history.isMixed(service, now));
    remove("a");
    now += streamMemory - milliseconds(1);
    CHECK(history.isMixed(service, now));
    CHECK_FALSE(history.soleVersion(service, now));
    now += milliseconds(1);
    CHECK(isSole("v2"));
}

// Guards against a router that takes the only version that it has found at its start for the only
// one that can have begun a stream.
TEST_CASE("version history, router has just started, knows no sole version before the past is read")
{
    VersionHistory history;
    const ServiceId service("llm");
    const SoftwareVersion present("v2");
    TimePoint now{std::chrono::hours(1)};
    history.onStarted(now);
    history.onRegistered(ServerId("a"), service, present, now);
    CHECK_FALSE(history.soleVersion(service, now));
    SECTION("another version served before")
    {
        history.onSeen(service, SoftwareVersion("v1"), now);
        history.onHistoryRead();
        CHECK_FALSE(history.soleVersion(service, now));
        CHECK(history.isMixed(service, now));
    }
    SECTION("no other version served before")
    {
        history.onSeen(service, present, now);
        history.onHistoryRead();
        CHECK(history.soleVersion(service, now));
    }
    SECTION("the past can't be read")
    {
        now += streamMemory;
        CHECK(history.soleVersion(service, now));
    }
}

// Guards against a version that has come, begun streams and left between two reads.
TEST_CASE_METHOD(VersionHistoryFixture,
                 "version history, registrations were missed, knows no sole version for a time")
{
    add("a", "v1");
    now += streamMemory;
    CHECK(isSole("v1"));
    history.onStarted(now);
    CHECK_FALSE(history.soleVersion(service, now));
    now += streamMemory;
    CHECK(isSole("v1"));
}

// Guards against a server that comes back with another version under the same id.
TEST_CASE_METHOD(VersionHistoryFixture, "version history, server changes its version, has both")
{
    add("a", "v1");
    CHECK(add("a", "v2"));
    now += streamMemory;
    CHECK(isSole("v2"));
    CHECK_FALSE(history.soleVersion(ServiceId("other"), now));
}

TEST_CASE("take-up, what is known about the stream, decides where it goes on")
{
    const VersionHash first(1);
    const VersionHash second(2);
    using enum TakeUpAction;
    using enum ServerListState;
    struct Case
    {
        TakeUpInput input;
        TakeUpAction action;
        VersionHash version{};
    };
    const std::vector<Case> cases{
            {{first, second, Unread, false}, GoOn, first},
            {{first, second, Unreadable, true}, GoOn, first},
            {{first, {}, Current, true}, GoOn, first},
            {{{}, second, Unread, false}, ReadServers},
            {{{}, second, Unread, true}, ReadServers},
            {{{}, second, Current, false}, GoOn, second},
            {{{}, second, Unreadable, false}, ReadRecord},
            {{{}, second, Unreadable, true}, Refuse},
            {{{}, {}, Unread, false}, ReadRecord},
            {{{}, {}, Unread, true}, Refuse},
            {{{}, {}, Current, false}, ReadRecord},
            {{{}, {}, Current, true}, Refuse},
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
        CAPTURE(i);
        const TakeUpDecision decision = decideTakeUp(cases[i].input);
        CHECK(decision.action == cases[i].action);
        CHECK(decision.version == cases[i].version);
    }
}

// Guards against memory that grows with the number of streams.
TEST_CASE("stream origins, old or too many, are forgotten")
{
    StreamOrigins origins;
    TimePoint now{std::chrono::hours(1)};
    for (std::uint64_t i = 0; i <= StreamOrigins::maxOrigins; ++i)
        origins.add({AttemptHash(i), VersionHash(7)}, now);
    CHECK_FALSE(origins.find(AttemptHash(0), now));
    CHECK(origins.find(AttemptHash(1), now) == VersionHash(7));
    CHECK(origins.all(now).size() == StreamOrigins::maxOrigins);
    now += streamMemory;
    CHECK_FALSE(origins.find(AttemptHash(1), now));
    CHECK(origins.all(now).empty());
}
