#include "claims/ClaimEntry.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct ClaimStateMachineFixture
{
    ClaimStateMachine claimState;
    std::uint64_t offset = 0;
    AccountKey key{AccountId("a"), IdempotencyKey("k")};
    ServerId server{"desk"};

    void add(const std::vector<ClaimEntry> &entries) { addBody(encodeClaimEntries(entries)); }
    void addBody(const std::string &body)
    {
        ++offset;
        claimState.apply({LogOffset(offset), "r", WallTime(seconds(offset)), body});
    }
    AgentStart start(std::uint64_t incarnation) const
    {
        return {server, DaemonId("agent"), Incarnation(incarnation)};
    }
    ClaimRequested claim(const std::string &id, std::uint64_t incarnation,
                         std::uint64_t fencing) const
    {
        return {key, ClaimId(id), "d", server, Incarnation(incarnation), FencingNumber(fencing)};
    }
    KeyPhase phase() const { return claimState.state(key).phase; }
};

} // namespace

// Guards against a second or voided claim that takes over a key, and against keys of different
// accounts that share state.
TEST_CASE_METHOD(ClaimStateMachineFixture,
                 "claim state machine, two claims of a key, first one holds it")
{
    add({start(1)});
    add({claim("c1", 1, 1), claim("c2", 1, 1)});
    CHECK(claimState.state(key).claim == ClaimId("c1"));
    CHECK(claimState.state({AccountId("b"), key.key}).phase == KeyPhase::Free);
    add({ClaimVoid{key, ClaimId("c2")}});
    CHECK(phase() == KeyPhase::Claimed);
    add({ClaimVoid{key, ClaimId("c1")}, claim("c1", 1, 1)});
    CHECK(phase() == KeyPhase::Free);
    add({ClaimVoid{key, ClaimId("c3")}, claim("c3", 1, 1)});
    CHECK(phase() == KeyPhase::Free);
}

// Guards against a claim of an earlier incarnation that reaches the log late and takes the key.
TEST_CASE_METHOD(ClaimStateMachineFixture,
                 "claim state machine, claim of an older incarnation, loses")
{
    add({start(1)});
    add({start(2)});
    add({claim("late", 1, 1)});
    CHECK(phase() == KeyPhase::Free);
    add({claim("c", 2, 2), start(2)});
    CHECK(phase() == KeyPhase::Claimed);
    CHECK(claimState.newestStart(server) == FencingNumber(2));
    CHECK(claimState.newestIncarnation(server) == Incarnation(2));
}

// Guards against a settlement that frees a key whose request may still run, and against one that
// was made for an earlier claim.
TEST_CASE_METHOD(ClaimStateMachineFixture,
                 "claim state machine, settlement of not-run, frees only unsettled keys")
{
    add({start(1)});
    ClaimRequested first = claim("c1", 1, 1);
    first.validFor = seconds(5);
    add({first});
    addBody(settlementRecordBody(key, false));
    CHECK(phase() == KeyPhase::Claimed);
    add({start(2)});
    CHECK(phase() == KeyPhase::Unsettled);
    CHECK(claimState.unsettledKeys().size() == 1);
    addBody(settlementRecordBody(key, ClaimId("c0"), false));
    CHECK(phase() == KeyPhase::Unsettled);
    // An agent that does not read the log may run the claim until 5 s after it was stored.
    addBody(settlementRecordBody(key, false));
    CHECK(phase() == KeyPhase::Unsettled);

    SECTION("not run")
    {
        addBody(settlementRecordBody(key, false));
        CHECK(phase() == KeyPhase::Free);
        add({claim("c1", 2, 4)});
        CHECK(phase() == KeyPhase::Free);
    }
    SECTION("ran, and its answer turns up")
    {
        addBody(settlementRecordBody(key, true));
        CHECK(phase() == KeyPhase::SettledRan);
        add({ClaimOutcome{key, ClaimId("c1"), RecordedAnswer{200, {}, "x"}}});
        CHECK(claimState.state(key).answer.body == "x");
    }
}

// Guards against malformed records that stop the state machine or change a key, and against records
// that are applied twice because a log follower starts over.
TEST_CASE_METHOD(ClaimStateMachineFixture,
                 "claim state machine, malformed or repeated records, changes nothing")
{
    for (const char *body : {"", "{}", "[1]", R"([{"type":"claim"}])", R"([{"type":"x"}])"})
        addBody(body);
    CHECK(claimState.malformedEntries() == 5);
    addBody(R"([{"type":"start","server":"desk","agent":"\u1234","incarnation":1}])");
    addBody(R"([{"type":"start","server":"desk","agent":"a","incarnation":-1}])");
    CHECK(claimState.malformedEntries() == 7);
    CHECK(claimState.newestStart(server) == FencingNumber(0));
    add({claim("c1", 1, 1)});
    --offset;
    add({ClaimVoid{key, ClaimId("c1")}});
    CHECK(phase() == KeyPhase::Claimed);
    claimState.expire(WallTime(seconds(offset + 1)));
    CHECK(claimState.size() == 0);
}
