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

// A leaving server gets no new requests after this time (design page).
constexpr seconds maxLeavingDelay{3};

/// Constant load through two entries on two engines, of which the first one leaves.
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
        // A cancelled hedge would be indistinguishable from an interrupted request.
        options.settings = "[policy]\nhedging = false";
        return options;
    }

    LeavingFixture()
    {
        for (int i = 0; i < callerCount; ++i)
            callers.emplace_back([this, i] { runCaller(i); });
        REQUIRE(waitUntil(seconds(10), [&] { return started(leavingServer) > 20; }));
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
            const bool isComplete =
                    outcome.isComplete() && outcome.status == 200 && check.isComplete();
            ++(isComplete ? complete : failed);
        }
    }

    int started(const std::string &server) const
    {
        const nlohmann::json journal = fleet.journal(server);
        return journal.is_object() ? journal["started"].get<int>() : -1;
    }

    /// Checks that from 3 s on the leaving server starts no request, the other one does, and no
    /// request has failed.
    void checkNoNewWork()
    {
        // The delay itself is under test, so the wait is fixed.
        std::this_thread::sleep_for(maxLeavingDelay);
        const int startedAtLeaving = started(leavingServer);
        const int startedAtOther = started("engine-2");
        const int completeBefore = complete;
        CHECK(waitUntil(seconds(10), [&] { return complete > completeBefore + 100; }));
        CHECK(started(leavingServer) == startedAtLeaving);
        CHECK(started("engine-2") > startedAtOther);
        stopCallers();
        CHECK(failed == 0);
        const nlohmann::json journal = fleet.journal(leavingServer);
        CHECK(journal["finished"] == journal["started"]);
    }

    const std::string leavingServer = "engine-1";
    const std::string agent = "agent-engine-1";
    const std::string host = "host-agent-engine-1";
    Fleet fleet{options()};
    std::atomic<bool> stopping{false};
    std::atomic<int> complete{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
};

} // namespace

// Guards against new requests to a host that the platform lists as leaving.
TEST_CASE_METHOD(LeavingFixture, "leaving server, named by the host list, gets no new work")
{
    REQUIRE(fleet.setHostState(host, "leaving"));
    checkNoNewWork();
}

// Guards against an operator's note whose "leaving" flag has no effect.
TEST_CASE_METHOD(LeavingFixture, "leaving server, named by a note, gets no new work")
{
    const CommandResult note =
            fleet.submitNote("follows = 1\ntitle = \"engine leaves\"\n"
                             "[[changed.servers]]\nname = \"engine-1\"\nleaving = true\n");
    INFO(note.output);
    REQUIRE(note.exitCode == 0);
    checkNoNewWork();
}

// Guards against an agent that accepts requests after SIGTERM.
TEST_CASE_METHOD(LeavingFixture, "leaving server, SIGTERM to its agent, gets no new work")
{
    fleet.process(agent).signal(SIGTERM);
    checkNoNewWork();
    CHECK(fleet.process(agent).waitForExit(seconds(10)) == 0);
}

// Guards against an entry that keeps using the server because it can't read the host list.
TEST_CASE_METHOD(LeavingFixture, "leaving server, an entry is cut off, gets no new work")
{
    REQUIRE(fleet.setFaults("entry-1>platform", {{"cut", true}}));
    REQUIRE(fleet.setHostState(host, "leaving"));
    checkNoNewWork();
}

// Guards against an agent that keeps granting offers because it can't read the host list, while an
// entry that can't read it either keeps offering.
TEST_CASE_METHOD(LeavingFixture, "leaving server, its agent is cut off, gets no new work")
{
    REQUIRE(fleet.setFaults("entry-1>platform", {{"cut", true}}));
    REQUIRE(fleet.setFaults(agent + ">platform", {{"cut", true}}));
    REQUIRE(fleet.setHostState(host, "leaving"));
    checkNoNewWork();
}

// Guards against the same failure when the server leaves by an operator's note.
TEST_CASE_METHOD(LeavingFixture, "leaving server, a note its agent can't read, gets no new work")
{
    REQUIRE(fleet.setFaults("entry-1>platform", {{"freeze", true}}));
    REQUIRE(fleet.setFaults(agent + ">platform", {{"freeze", true}}));
    const CommandResult note =
            fleet.submitNote("follows = 1\ntitle = \"engine leaves\"\n"
                             "[[changed.servers]]\nname = \"engine-1\"\nleaving = true\n");
    REQUIRE(note.exitCode == 0);
    checkNoNewWork();
}
