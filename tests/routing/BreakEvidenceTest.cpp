#include "routing/BreakEvidence.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace lovagecourse;

namespace {

const TimePoint connected{std::chrono::hours(1)};
const TimePoint broken = connected + milliseconds(500);

/// Idle connection whose end was noticed at once.
IdleEnd endAt(TimePoint ended)
{
    return IdleEnd{connected - seconds(10), ended, ended};
}

BreakEvidence brokenRequest(bool answersProbe, std::vector<IdleEnd> idleEnds)
{
    return BreakEvidence{connected, broken, answersProbe, std::move(idleEnds)};
}

} // namespace

// Guards against a crash that is not seen because the server has already restarted.
TEST_CASE("break evidence, probe answered, idle connection ended too, is a crash")
{
    CHECK(findCrash(brokenRequest(true, {endAt(broken)})).has_value());
    CHECK(findCrash(brokenRequest(true, {endAt(broken + milliseconds(20))})).has_value());
    CHECK(findCrash(brokenRequest(true, {endAt(broken - milliseconds(20))})).has_value());
}

// Guards against a server that closes one connection and is taken for crashed.
TEST_CASE("break evidence, probe answered, idle connection goes on, is no crash")
{
    CHECK_FALSE(findCrash(brokenRequest(true, {})).has_value());
    CHECK_FALSE(findCrash(brokenRequest(true, {endAt(connected - milliseconds(1))})).has_value());
    CHECK_FALSE(findCrash(brokenRequest(true, {endAt(connected + milliseconds(1))})).has_value());
    CHECK_FALSE(findCrash(brokenRequest(true, {endAt(broken + seconds(2))})).has_value());
}

// Guards against a crash that needs the idle connection to be seen.
TEST_CASE("break evidence, probe not answered, is a crash")
{
    CHECK(findCrash(brokenRequest(false, {})).has_value());
}

// Guards against a late process that takes a request to the restarted server for the cause of the
// crash before: it notices the end of the idle connection after it has sent the request.
TEST_CASE("break evidence, idle connection ended before the request's was made, is no crash")
{
    const IdleEnd late{connected - seconds(10), connected - milliseconds(20), broken};
    CHECK_FALSE(findCrash(brokenRequest(true, {late})).has_value());
    CHECK_FALSE(ranAtCrash(connected, late.endedAt));
    CHECK_FALSE(ranAtCrash(std::nullopt, broken));
    CHECK(ranAtCrash(connected, connected));
}

// Guards against a late process that misses a crash because it noticed it long after it happened.
TEST_CASE("break evidence, end noticed late together with the break, is a crash at its own time")
{
    const IdleEnd late{connected - seconds(10), connected + milliseconds(20), broken};
    CHECK(findCrash(brokenRequest(true, {late})) == connected + milliseconds(20));
    CHECK(findCrash(brokenRequest(false, {late})) == connected + milliseconds(20));
}

// Guards against a crash that is missed because the server crashed again before the probe's answer,
// and against one that is seen in a connection to the next process.
TEST_CASE("break evidence, several ends, the one that belongs to the break decides")
{
    const IdleEnd next{broken + milliseconds(5), broken + milliseconds(50),
                       broken + milliseconds(50)};
    const IdleEnd later = endAt(broken + seconds(1));
    CHECK(findCrash(brokenRequest(true, {endAt(broken), next, later})) == broken);
    CHECK_FALSE(findCrash(brokenRequest(true, {next, later})).has_value());
}
