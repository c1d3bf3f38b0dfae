#include "integration/Fleet.h"

#include <catch2/catch.hpp>

#include <future>

using namespace lovagecourse::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct KeyCommandsFixture
{
    Fleet fleet{options()};
    std::string key = makeUuid7();

    static FleetOptions options()
    {
        FleetOptions options;
        options.engines = 0;
        return options;
    }
    CommandResult keys(const std::vector<std::string> &arguments) const
    {
        std::vector<std::string> command{LOVAGECOURSE_BINARY, "keys", "--platform",
                                         fleet.platformUrl()};
        command.insert(command.end(), arguments.begin(), arguments.end());
        return runCommand(command, fleet.folder() + "/keys.out");
    }
    CommandResult settle(const std::string &verdict) const
    {
        return keys({"settle", "a", key, verdict});
    }
    int runs() const { return fleet.journal("desk-1")["runs"].value(key, 0); }
    HttpOutcome bookAgain() const { return fleet.book(2, "a", key, seconds(5)); }

    /// Kills the agent after the key's execution has started and before its answer, then restarts
    /// it.
    void loseAnswer(milliseconds deadline)
    {
        REQUIRE(fleet.control("desk-1", {{"slow_factor", 100}}));
        auto booking =
                std::async(std::launch::async, [&] { return fleet.book(1, "a", key, deadline); });
        REQUIRE(waitUntil(seconds(5), [&] { return runs() == 1; }));
        fleet.process("agent-desk-1").kill();
        CHECK(booking.get().ran() == "unknown");
        REQUIRE(fleet.control("desk-1", {{"slow_factor", 1}}));
        fleet.restart("agent-desk-1");
        REQUIRE(fleet.waitUntilUsable(seconds(15)));
        // The agent is usable before its incarnation is in the log; this call waits for that.
        REQUIRE(bookAgain().refusal() == "idempotency-key-unsettled");
    }
    /// Retries the settlement until it is accepted, which is once the claim's deadline has passed.
    bool waitUntilSettled(const std::string &verdict)
    {
        return waitUntil(seconds(10), [&] { return settle(verdict).exitCode == 0; });
    }
};

} // namespace

// Guards against an unsettled key that is not listed for operators, or that stays refused after
// they settled it as not run.
TEST_CASE_METHOD(KeyCommandsFixture, "keys settle, not-run, lets the key run once more")
{
    loseAnswer(milliseconds(1500));
    const auto rows = nlohmann::json::parse(keys({"unsettled", "--json"}).output);
    REQUIRE(rows.size() == 1);
    CHECK(rows[0]["account"] == "a");
    CHECK(rows[0]["key"] == key);
    CHECK(rows[0]["server"] == "desk-1");
    CHECK(rows[0]["claimed_at_ms"] < rows[0]["may_run_until_ms"]);
    REQUIRE(waitUntilSettled("not-run"));
    CHECK(keys({"unsettled", "--json"}).output == "[]\n");
    CHECK(bookAgain().status == 201);
    CHECK(bookAgain().status == 201);
    // The first execution did happen: the test settled the key wrongly as "not-run" on purpose.
    CHECK(runs() == 2);
    CHECK(settle("not-run").exitCode == 1);
}

// Guards against a key settled as "ran" that runs again or is still reported as "unknown".
TEST_CASE_METHOD(KeyCommandsFixture, "keys settle, ran, reports to callers that it ran")
{
    loseAnswer(milliseconds(1500));
    REQUIRE(waitUntilSettled("ran"));
    const HttpOutcome repeated = bookAgain();
    CHECK(repeated.refusal() == "idempotency-key-unsettled");
    CHECK(repeated.ran() == "yes");
    CHECK(runs() == 1);
}

// Guards against a settlement while a slow agent may still run the request, and against commands
// with invalid arguments that change something.
TEST_CASE_METHOD(KeyCommandsFixture, "keys settle, too early or without need, changes nothing")
{
    loseAnswer(seconds(60));
    CHECK(settle("not-run").exitCode == 3);
    CHECK(settle("ran").exitCode == 3);
    CHECK(bookAgain().ran() == "unknown");
    CHECK(keys({"settle", "a", makeUuid7(), "ran"}).exitCode == 1);
    CHECK(keys({"settle", "a", key}).exitCode == 2);
    CHECK(keys({"settle", "a", key, "maybe"}).exitCode == 2);
    CHECK(keys({"forget"}).exitCode == 2);
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    CHECK(keys({"unsettled", "--timeout", "0.5"}).exitCode == 4);
    CHECK(runs() == 1);
}
