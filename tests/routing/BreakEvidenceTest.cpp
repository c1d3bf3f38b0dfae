#include "routing/BreakEvidence.h"

#include <catch2/catch.hpp>

#include <array>
#include <string>
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

BreakEvidence brokenRequest(ProbeResult probe, std::vector<IdleEnd> idleEnds,
                            std::optional<TimePoint> oldestOpenIdle = std::nullopt)
{
    return BreakEvidence{connected, broken, probe, std::move(idleEnds), oldestOpenIdle};
}

std::string verdictName(const BreakEvidence &evidence)
{
    constexpr std::array<const char *, 3> names{"crashed", "runs", "unknown"};
    return names.at(judgeBreak(evidence).index());
}

std::optional<TimePoint> crashTime(const BreakEvidence &evidence)
{
    const BreakVerdict verdict = judgeBreak(evidence);
    const auto *crash = std::get_if<ServerCrashed>(&verdict);
    return crash != nullptr ? std::optional(crash->at) : std::nullopt;
}

} // namespace

// Guards against a crash that is not seen because the server has already restarted, and against a
// running server that is taken for crashed because it closes an idle connection or answers late.
TEST_CASE("break evidence, decision table, each combination has its verdict")
{
    using enum ProbeResult;
    const IdleEnd now = endAt(broken);
    const IdleEnd soon = endAt(broken + milliseconds(20));
    const IdleEnd fresh{broken - milliseconds(200), broken, broken};
    const IdleEnd before = endAt(connected - milliseconds(1));
    const IdleEnd later = endAt(broken + seconds(2));
    const TimePoint old = connected - seconds(1);
    const TimePoint young = broken + milliseconds(1);
    const auto [probe, ends, open, expected] = GENERATE_COPY(
            table<ProbeResult, std::vector<IdleEnd>, std::optional<TimePoint>, std::string>({
                    {Refused, {}, std::nullopt, "crashed"},
                    {Refused, {now}, old, "crashed"},
                    {Answered, {now, soon}, std::nullopt, "crashed"},
                    {Answered, {now, soon}, young, "crashed"},
                    {Silent, {now, soon}, std::nullopt, "crashed"},
                    // Too young for an idle timeout.
                    {Answered, {fresh}, std::nullopt, "crashed"},
                    {Answered, {fresh}, old, "runs"},
                    // The process of an open connection has not ended.
                    {Answered, {now}, old, "runs"},
                    {Silent, {now}, old, "runs"},
                    {Silent, {}, old, "runs"},
                    {Answered, {}, std::nullopt, "runs"},
                    {Answered, {before}, young, "runs"},
                    {Answered, {later, later}, std::nullopt, "runs"},
                    // One end may be that of an idle timeout, and a slow server does not answer.
                    {Answered, {now}, std::nullopt, "unknown"},
                    {Answered, {now}, young, "unknown"},
                    {Answered, {now, before}, std::nullopt, "unknown"},
                    {Silent, {}, std::nullopt, "unknown"},
                    {Silent, {now}, young, "unknown"},
            }));
    CAPTURE(static_cast<int>(probe), ends.size());
    CHECK(verdictName(brokenRequest(probe, ends, open)) == expected);
}

// Guards against a late process that takes two idle timeouts for a crash because it notices both
// ends at once.
TEST_CASE("break evidence, ends noticed together that were apart, prove no crash")
{
    const IdleEnd first{connected - seconds(10), connected + milliseconds(50), broken};
    const IdleEnd second{connected - seconds(9), connected + milliseconds(350), broken};
    CHECK(verdictName(brokenRequest(ProbeResult::Answered, {first, second})) == "unknown");
}

// Guards against a late process that takes a request to the restarted server for the cause of the
// crash before: it notices the end of the idle connection after it has sent the request.
TEST_CASE("break evidence, idle connection ended before the request's was made, is no crash")
{
    const IdleEnd late{connected - seconds(10), connected - milliseconds(20), broken};
    CHECK(verdictName(brokenRequest(ProbeResult::Answered, {late, late})) == "runs");
    CHECK_FALSE(ranAtCrash(connected, late.endedAt));
    CHECK_FALSE(ranAtCrash(std::nullopt, broken));
    CHECK(ranAtCrash(connected, connected));
}

// Guards against a late process that misses a crash because it noticed it long after it happened.
TEST_CASE("break evidence, end noticed late together with the break, is a crash at its own time")
{
    const IdleEnd late{connected - seconds(10), connected + milliseconds(20), broken};
    for (const ProbeResult probe : {ProbeResult::Answered, ProbeResult::Refused})
        CHECK(crashTime(brokenRequest(probe, {late, late})) == connected + milliseconds(20));
}

// Guards against a crash that is missed because the server crashed again before the probe's answer,
// and against one that is seen in a connection to the next process.
TEST_CASE("break evidence, several ends, the one that belongs to the break decides")
{
    const IdleEnd next{broken + milliseconds(5), broken + milliseconds(50),
                       broken + milliseconds(50)};
    const IdleEnd later = endAt(broken + seconds(1));
    const IdleEnd atBreak = endAt(broken);
    CHECK(crashTime(brokenRequest(ProbeResult::Answered, {atBreak, atBreak, next, next, later}))
          == broken);
    CHECK(verdictName(brokenRequest(ProbeResult::Answered, {next, next, later, later})) == "runs");
}
