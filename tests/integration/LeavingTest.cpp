#include "../../standins/AnswerCheck.h"
#include "integration/Fleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace lovagecourse;
using namespace lovagecourse::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// From the design page: a leaving server gets no new work after this time.
constexpr seconds leaveLimit{3};

/// Steady load at both entries on two engines, of which the first one leaves.
struct LeavingFixture
{
    static constexpr int callerCount = 16;
    static constexpr int tokens = 20;

    static FleetOptions options()
    {
        FleetOptions options;
        options.desks = 0;
        options.proxied = true;
        options.engineOptions = {"--base-gap-ms", "10", "--prefill-ms", "10"};
        // The losers of hedges are cancelled, which would hide a request that was cut off.
        options.settings = "[policy]\nhedging = false";
        return options;
    }

    LeavingFixture()
    {
        for (int i = 0; i < callerCount; ++i)
            callers.emplace_back([this, i] { runCaller(i); });
        REQUIRE(waitUntil(seconds(10), [&] { return started(leaver) > 20; }));
    }

    ~LeavingFixture() { stopCallers(); }

    void stopCallers()
    {
        stopping = true;
        for (std::thread &caller : callers)
            caller.join();
        callers.clear();
    }

    void runCaller(int caller)
    {
        for (int i = 0; !stopping; ++i) {
            const std::string prompt = std::to_string(caller) + " asks " + std::to_string(i);
            const HttpOutcome outcome = fleet.chat(1 + caller % 2, "a", prompt, tokens, true);
            AnswerCheck check(prompt, tokens);
            check.append(outcome.body);
            const bool isWhole = outcome.isWhole() && outcome.status == 200 && check.isWhole();
            ++(isWhole ? whole : failed);
        }
    }

    int started(const std::string &server) const
    {
        const nlohmann::json journal = fleet.journal(server);
        return journal.is_object() ? journal["started"].get<int>() : -1;
    }

    /// Checks what must hold from 3 s after the server was said to leave.
    void checkLeft()
    {
        // The passing of time is itself what is tested.
        std::this_thread::sleep_for(leaveLimit);
        const int startedAtLeaver = started(leaver);
        const int startedAtOther = started("engine-2");
        const int wholeBefore = whole;
        CHECK(waitUntil(seconds(10), [&] { return whole > wholeBefore + 100; }));
        CHECK(started(leaver) == startedAtLeaver);
        CHECK(started("engine-2") > startedAtOther);
        stopCallers();
        CHECK(failed == 0);
        const nlohmann::json journal = fleet.journal(leaver);
        CHECK(journal["finished"] == journal["started"]);
    }

    const std::string leaver = "engine-1";
    const std::string agent = "agent-engine-1";
    const std::string host = "host-agent-engine-1";
    Fleet fleet{options()};
    std::atomic<bool> stopping{false};
    std::atomic<int> whole{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
};

} // namespace

// Guards against new work on a host that the platform takes away.
TEST_CASE_METHOD(LeavingFixture, "leaving server, named by the host list, gets no new work")
{
    REQUIRE(fleet.setHostState(host, "leaving"));
    checkLeft();
}

// Guards against an operator's note that a server leaves without effect.
TEST_CASE_METHOD(LeavingFixture, "leaving server, named by a note, gets no new work")
{
    const CommandResult note =
            fleet.submitNote("follows = 1\ntitle = \"engine leaves\"\n"
                             "[[changed.servers]]\nname = \"engine-1\"\nleaving = true\n");
    INFO(note.output);
    REQUIRE(note.exitCode == 0);
    checkLeft();
}

// Guards against an agent that takes work after SIGTERM.
TEST_CASE_METHOD(LeavingFixture, "leaving server, SIGTERM to its agent, gets no new work")
{
    fleet.process(agent).signal(SIGTERM);
    checkLeft();
    CHECK(fleet.process(agent).waitForExit(seconds(10)) == 0);
}

// Guards against an entry that goes on using the server because it hears of nothing.
TEST_CASE_METHOD(LeavingFixture, "leaving server, an entry is cut off, gets no new work")
{
    REQUIRE(fleet.setFaults("entry-1>platform", {{"cut", true}}));
    REQUIRE(fleet.setHostState(host, "leaving"));
    checkLeft();
}

// Guards against an agent that goes on granting because it can't hear of it, while an entry that
// has not heard either goes on offering.
TEST_CASE_METHOD(LeavingFixture, "leaving server, its agent is cut off, gets no new work")
{
    REQUIRE(fleet.setFaults("entry-1>platform", {{"cut", true}}));
    REQUIRE(fleet.setFaults(agent + ">platform", {{"cut", true}}));
    REQUIRE(fleet.setHostState(host, "leaving"));
    checkLeft();
}

// Guards against the same for an operator's note.
TEST_CASE_METHOD(LeavingFixture, "leaving server, a note its agent can't hear, gets no new work")
{
    REQUIRE(fleet.setFaults("entry-1>platform", {{"freeze", true}}));
    REQUIRE(fleet.setFaults(agent + ">platform", {{"freeze", true}}));
    const CommandResult note =
            fleet.submitNote("follows = 1\ntitle = \"engine leaves\"\n"
                             "[[changed.servers]]\nname = \"engine-1\"\nleaving = true\n");
    REQUIRE(note.exitCode == 0);
    checkLeft();
}
