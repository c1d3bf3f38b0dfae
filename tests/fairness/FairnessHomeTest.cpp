#include "fairness/FairnessHome.h"
#include "fairness/AccountLedger.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

/// Ledgers of two agents, and two homes to which the tests pass their reports directly.
struct FairnessHomeFixture
{
    TimePoint now{std::chrono::hours(1)};
    FlowId flow{AccountId("a"), ServiceId("s")};
    FlowId other{AccountId("b"), ServiceId("s")};
    Share share{2};
    FairnessHome home{DaemonId("entry1")};
    FairnessHome nextHome{DaemonId("entry2")};
    AccountLedger first{Incarnation(1)};
    AccountLedger second{Incarnation(1)};

    ServiceReport report(AccountLedger &ledger, const std::string &agent, unsigned incarnation = 1)
    {
        now += milliseconds(250);
        return {DaemonId(agent), Incarnation(incarnation), ledger.virtualTime(), Work(1000),
                ledger.reportsDue(now, 10)};
    }

    void exchange(AccountLedger &ledger, const std::string &agent, FairnessHome &to,
                  unsigned incarnation = 1)
    {
        ledger.applyTotals(to.apply(report(ledger, agent, incarnation), now), now);
    }

    void serve(AccountLedger &ledger, double work, const FlowId &served)
    {
        ledger.setBacklogged(served, share, true, now);
        ledger.charge(served, share, Work(work), now);
    }
};

} // namespace

// Guards against positions that lack the service of other agents.
TEST_CASE_METHOD(FairnessHomeFixture, "fairness home, two agents report, sums their service")
{
    serve(first, 100, flow);
    serve(second, 60, flow);
    CHECK(first.position(flow, share).value == Approx(50));
    exchange(first, "agent1", home);
    exchange(second, "agent2", home);
    CHECK(second.position(flow, share).value == Approx(80));
    serve(first, 10, flow);
    exchange(first, "agent1", home);
    CHECK(first.position(flow, share).value == Approx(85));
}

// Guards against service that is counted twice when a report is repeated or its reply is lost.
TEST_CASE_METHOD(FairnessHomeFixture, "fairness home, repeated and lost messages, counts once")
{
    serve(first, 100, flow);
    const ServiceReport sent = report(first, "agent1");
    home.apply(sent, now);
    home.apply(sent, now);
    serve(first, 20, flow);
    exchange(first, "agent1", home);
    CHECK(first.position(flow, share).value == Approx(60));
    CHECK(first.reportsDue(now + milliseconds(250), 10).empty());
}

// Guards against estimates that are reported to homes, where they would outlive their request, and
// against an agent that ignores its running requests when it orders flows.
TEST_CASE_METHOD(FairnessHomeFixture, "account ledger, outstanding work, counts only at its agent")
{
    serve(first, 100, flow);
    first.adjustOutstanding(flow, share, Work(400), now);
    CHECK(first.position(flow, share).value == Approx(250));
    exchange(first, "agent1", home);
    serve(second, 0, flow);
    exchange(second, "agent2", home);
    CHECK(second.position(flow, share).value == Approx(50));
    CHECK(first.position(flow, share).value == Approx(250));
}

// Guards against positions that are lost when another, empty entry becomes the home of a flow.
TEST_CASE_METHOD(FairnessHomeFixture, "fairness home, replaced by an empty one, keeps positions")
{
    serve(first, 100, flow);
    serve(second, 60, flow);
    exchange(first, "agent1", home);
    exchange(second, "agent2", home);
    // A backlogged flow without new service is reported again after 900 ms.
    now += seconds(1);
    exchange(second, "agent2", nextHome);
    serve(first, 10, flow);
    exchange(first, "agent1", nextHome);
    CHECK(first.position(flow, share).value == Approx(85));
}

// Guards against service that is counted twice when a flow returns to its former home, which still
// holds the agents' old contributions.
TEST_CASE_METHOD(FairnessHomeFixture, "fairness home, flows return to it, counts others once")
{
    serve(first, 100, flow);
    serve(second, 100, flow);
    exchange(first, "agent1", home);
    exchange(second, "agent2", home);
    now += seconds(3);
    serve(first, 100, flow);
    serve(second, 100, flow);
    exchange(first, "agent1", nextHome);
    exchange(second, "agent2", nextHome);
    now += seconds(1);
    exchange(second, "agent2", home);
    exchange(first, "agent1", home);
    // The position of all service is 200. A change of home may miss service that other agents
    // reported before the largest known position arrived.
    CHECK(first.position(flow, share).value <= 200);
    CHECK(first.position(flow, share).value >= 150);
}

// Guards against a restart that removes the service of the agent's earlier incarnation, and
// against a ledger that applies totals sent to that incarnation.
TEST_CASE_METHOD(FairnessHomeFixture,
                 "fairness home, agent restarts, keeps the old incarnation's service")
{
    serve(first, 100, flow);
    const ServiceReport old = report(first, "agent1");
    const FairTotals oldTotals = home.apply(old, now);
    AccountLedger restarted{Incarnation(2)};
    serve(restarted, 20, flow);
    restarted.applyTotals(oldTotals, now);
    exchange(restarted, "agent1", home, 2);
    CHECK(home.apply(old, now).entries.empty());
    CHECK(restarted.position(flow, share).value == Approx(60));
}

// Guards against idle accounts that accumulate credit, and against accounts that are penalised
// without limit for service they received while no other account was backlogged.
TEST_CASE_METHOD(FairnessHomeFixture, "fairness home, flow turns backlogged, clamps its position")
{
    serve(first, 100, other);
    exchange(first, "agent1", home);
    first.setBacklogged(other, share, false, now);
    exchange(first, "agent1", home);
    // The flow starts at 50, the virtual time set by the other flow.
    for (int i = 0; i < 20; ++i) {
        serve(first, 1000, flow);
        exchange(first, "agent1", home);
    }
    CHECK(home.virtualTime() == first.position(flow, share));
    SECTION("behind: starts at virtual time")
    {
        serve(first, 0, other);
        exchange(first, "agent1", home);
        CHECK(first.position(other, share).value == Approx(10050));
    }
    SECTION("ahead: starts one second of capacity after it")
    {
        first.charge(other, share, Work(100000), now);
        exchange(first, "agent1", home);
        now += seconds(3);
        serve(first, 0, other);
        exchange(first, "agent1", home);
        CHECK(first.position(other, share).value == Approx(10550));
    }
}

// Guards against an agent without any reachable home that keeps serving one account, because
// positions no longer change.
TEST_CASE_METHOD(FairnessHomeFixture, "account ledger, cut off from homes, continues from totals")
{
    serve(first, 100, flow);
    exchange(first, "agent1", home);
    for (int i = 0; i < 10; ++i)
        serve(first, 1000, flow);
    CHECK(first.position(flow, share).value == Approx(5050));
    first.setBacklogged(other, share, true, now);
    CHECK(first.position(other, share) == first.virtualTime());
    CHECK(first.virtualTime() == Position(50));
}

// Guards against flows that are never reported when the byte budget allows one entry per report.
TEST_CASE_METHOD(FairnessHomeFixture,
                 "account ledger, small budget, reports the most service first")
{
    serve(first, 10, flow);
    serve(first, 1000, other);
    now += milliseconds(250);
    CHECK(first.reportsDue(now, 1).at(0).flow == other);
    CHECK(first.reportsDue(now, 1).at(0).flow == flow);
    CHECK(first.reportsDue(now, 1).empty());
}
