#include "claims/ClaimCoordinator.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

using namespace lovagecourse;

namespace {

/// Two agents on one log. Each append takes effect immediately unless the log is down.
struct ClaimCoordinatorFixture
{
    struct Agent
    {
        ClaimCoordinator claims;
        std::size_t nextRecord = 0;
    };

    TimePoint now{std::chrono::hours(1)};
    std::vector<LogRecord> log;
    std::set<std::string> storedIds;
    bool logDown = false;
    Agent first{ClaimCoordinator({DaemonId("a1"), ServerId("s1"), Incarnation(1)})};
    Agent second{ClaimCoordinator({DaemonId("a2"), ServerId("s2"), Incarnation(1)})};

    ClaimCoordinatorFixture() { runUntilIdle(); }

    void append(const std::string &id, const std::string &body)
    {
        if (storedIds.insert(id).second)
            log.push_back({LogOffset(log.size() + 1), id, WallTime(), body});
    }
    void pollLog(Agent &agent)
    {
        agent.claims.onTick(now);
        if (logDown)
            return;
        if (const auto due = agent.claims.appendDue(now)) {
            append(due->recordId, due->body);
            agent.claims.onAppendResult(due->recordId, LogOffset(log.size()), now);
        }
        LogBatch batch{LogOffset(1), LogOffset(log.size() + 1), {}};
        for (; agent.nextRecord < log.size(); ++agent.nextRecord)
            batch.records.push_back(log[agent.nextRecord]);
        agent.claims.onBatch(batch, true, now);
    }
    void runUntilIdle()
    {
        for (int i = 0; i < 6; ++i) {
            pollLog(first);
            pollLog(second);
        }
    }
    std::shared_ptr<std::optional<ClaimDecision>> begin(Agent &agent,
                                                        const std::string &digest = "d")
    {
        auto decision = std::make_shared<std::optional<ClaimDecision>>();
        agent.claims.begin(
                {{AccountId("a"), IdempotencyKey("k")}, digest, now + seconds(1)},
                [decision](const ClaimDecision &value) { *decision = value; }, now);
        return decision;
    }
    static void checkRefused(const std::optional<ClaimDecision> &decision, RefusalReason reason,
                             Ran ran)
    {
        REQUIRE(decision);
        const auto *refused = std::get_if<ClaimRefused>(&*decision);
        REQUIRE(refused != nullptr);
        CHECK(toString(refused->refusal.reason) == toString(reason));
        CHECK(refused->refusal.ran == ran);
    }
};

} // namespace

// Guards against a repeated key that runs its request again, waits although it could be decided, or
// gets the answer of a different request.
TEST_CASE_METHOD(ClaimCoordinatorFixture, "claim coordinator, key repeated, one run and its answer")
{
    const auto run = begin(first);
    runUntilIdle();
    REQUIRE(*run);
    const ClaimId claim = std::get<ClaimWon>(**run).claim;
    CHECK(first.claims.mayRun(claim, now));
    const auto repeatAtFirst = begin(first);
    const auto repeatAtSecond = begin(second);
    const auto conflict = begin(second, "other");
    runUntilIdle();
    CHECK_FALSE(*repeatAtFirst);
    CHECK_FALSE(*repeatAtSecond);
    checkRefused(*conflict, RefusalReason::IdempotencyKeyConflict, Ran::No);
    now += seconds(1);
    CHECK_FALSE(first.claims.mayRun(claim, now));
    runUntilIdle();
    checkRefused(*repeatAtSecond, RefusalReason::IdempotencyKeyInProgress, Ran::Unknown);
    const auto again = begin(first);

    SECTION("answer known")
    {
        first.claims.recordOutcome(claim, {200, {}, "booked"});
        runUntilIdle();
        CHECK(std::get<ClaimReplay>(**again).answer.body == "booked");
        const auto later = begin(second);
        CHECK(std::get<ClaimReplay>(**later).answer.body == "booked");
    }
    SECTION("answer unknown")
    {
        first.claims.recordUnknownOutcome(claim);
        runUntilIdle();
        checkRefused(*again, RefusalReason::IdempotencyKeyUnsettled, Ran::Unknown);
        checkRefused(*begin(second), RefusalReason::IdempotencyKeyUnsettled, Ran::Unknown);
        append("operator", settlementRecordBody({AccountId("a"), IdempotencyKey("k")}, true));
        runUntilIdle();
        checkRefused(*begin(first), RefusalReason::IdempotencyKeyUnsettled, Ran::Yes);
    }
}

// Guards against a request that runs after it was refused during an outage of the log, and against
// a key that stays claimed because the record of its refused claim reached the log late.
TEST_CASE_METHOD(ClaimCoordinatorFixture, "claim coordinator, log down, refuses and frees the key")
{
    logDown = true;
    const auto queued = begin(first);
    now += seconds(1);
    runUntilIdle();
    checkRefused(*queued, RefusalReason::ClaimUnavailable, Ran::No);
    CHECK(first.claims.pendingEntries() == 0);

    const auto sent = begin(first);
    const auto lost = first.claims.appendDue(now);
    REQUIRE(lost);
    CHECK_FALSE(first.claims.appendDue(now));
    first.claims.onAppendResult(lost->recordId, PlatformFailure(PlatformUnavailable{}), now);
    now += seconds(1);
    runUntilIdle();
    checkRefused(*sent, RefusalReason::ClaimUnavailable, Ran::No);
    append(lost->recordId, lost->body);
    const auto retried = first.claims.appendDue(now);
    REQUIRE(retried);
    CHECK(retried->recordId == lost->recordId);
    first.claims.onAppendResult(lost->recordId, LogOffset(log.size()), now);
    logDown = false;
    runUntilIdle();
    CHECK(first.claims.pendingEntries() == 0);
    const auto other = begin(second);
    runUntilIdle();
    REQUIRE(*other);
    CHECK(std::holds_alternative<ClaimWon>(**other));
}

// Guards against an agent that still runs claimed requests after a newer incarnation of its
// server's agent started, or after it missed log records.
TEST_CASE_METHOD(ClaimCoordinatorFixture, "claim coordinator, fenced off, runs nothing any more")
{
    const auto run = begin(first);
    runUntilIdle();
    const ClaimId claim = std::get<ClaimWon>(**run).claim;

    SECTION("newer start")
    {
        Agent newer{ClaimCoordinator({DaemonId("a1"), ServerId("s1"), Incarnation(2)})};
        pollLog(newer);
        runUntilIdle();
        checkRefused(*begin(second), RefusalReason::IdempotencyKeyUnsettled, Ran::Unknown);
    }
    SECTION("records expired unread")
    {
        first.claims.onBatch({LogOffset(100), LogOffset(100), {}}, true, now);
    }
    CHECK(first.claims.isFenced());
    CHECK_FALSE(first.claims.mayRun(claim, now));
}

// Guards against a record that no agent can read (16 MiB at once, as a JSON string), which stops
// the claims of the whole fleet.
TEST_CASE_METHOD(ClaimCoordinatorFixture, "claim coordinator, answer too large, is not recorded")
{
    const auto run = begin(first);
    runUntilIdle();
    const ClaimId claim = std::get<ClaimWon>(**run).claim;
    // A control character takes seven bytes as a JSON string in a JSON string.
    const bool isControl = GENERATE(false, true);
    const std::size_t bytes = (isControl ? 3U : 16U) << 20;
    first.claims.recordOutcome(claim, {200, {}, std::string(bytes, isControl ? '\1' : 'x')});
    runUntilIdle();
    CHECK(std::all_of(log.begin(), log.end(), [](const LogRecord &record) {
        return nlohmann::json(record.body).dump().size() < (16U << 20);
    }));
    checkRefused(*begin(second), RefusalReason::IdempotencyKeyUnsettled, Ran::Unknown);
}

// Guards against refusing what fits: the largest body of the deployments.
TEST_CASE_METHOD(ClaimCoordinatorFixture, "claim coordinator, answer of 4 MiB, is recorded")
{
    const auto run = begin(first);
    runUntilIdle();
    const std::string body(4U << 20, 'x');
    first.claims.recordOutcome(std::get<ClaimWon>(**run).claim, {200, {}, body});
    runUntilIdle();
    const auto repeat = begin(second);
    REQUIRE(*repeat);
    CHECK(std::get<ClaimReplay>(**repeat).answer.body == body);
}

// Guards against an agent that was suspended between an announcement and its reading, announces the
// order again when it resumes, and takes the first record for the second one: it has not read the
// start of the agent that replaced it, which has sent a newer order.
TEST_CASE_METHOD(ClaimCoordinatorFixture,
                 "claim coordinator, suspended before it reads its announcement, sends no order")
{
    const FencingNumber older(5);
    const FencingNumber newer(6);
    first.claims.announceOrder(older, now);
    const auto announcement = first.claims.appendDue(now);
    REQUIRE(announcement);
    append(announcement->recordId, announcement->body);
    // The answer to this read arrives while the agent is suspended.
    const LogBatch arrived{LogOffset(1), LogOffset(log.size() + 1), {log.back()}};
    first.nextRecord = log.size();

    Agent successor{ClaimCoordinator({DaemonId("a3"), ServerId("s1"), Incarnation(2)})};
    for (int i = 0; i < 3; ++i)
        pollLog(successor);
    now += seconds(4);
    successor.claims.announceOrder(newer, now);
    CHECK_FALSE(successor.claims.maySendOrder(newer, now));
    pollLog(successor);
    CHECK(successor.claims.maySendOrder(newer, now));

    first.claims.announceOrder(older, now);
    first.claims.onAppendResult(announcement->recordId, LogOffset(log.size()), now);
    first.claims.onBatch(arrived, true, now);
    CHECK_FALSE(first.claims.maySendOrder(older, now));
    pollLog(first);
    CHECK_FALSE(first.claims.maySendOrder(older, now));
    CHECK(first.claims.isFenced());
}

// Guards against a new agent that does not wait for orders of an earlier one that has run for
// longer than the log keeps its start.
TEST_CASE_METHOD(ClaimCoordinatorFixture,
                 "claim coordinator, earlier start expired from the log, waits before its orders")
{
    first.claims.announceOrder(FencingNumber(5), now);
    pollLog(first);
    Agent successor{ClaimCoordinator({DaemonId("a3"), ServerId("s1"), Incarnation(2)})};
    successor.nextRecord = log.size() - 1;
    pollLog(successor);
    for (const bool mayBeSent : {false, true}) {
        successor.claims.announceOrder(FencingNumber(6), now);
        pollLog(successor);
        CHECK(successor.claims.maySendOrder(FencingNumber(6), now) == mayBeSent);
        now += seconds(3);
    }
}
