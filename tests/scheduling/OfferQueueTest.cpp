#include "scheduling/OfferQueue.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace lovagecourse;

namespace {

struct OfferQueueFixture
{
    OfferQueue queue{OfferQueueOptions{3, 100000}};
    TimePoint now{std::chrono::hours(1)};
    std::map<std::string, double> positions;
    std::uint64_t lastOffer = 0;

    OfferKey add(const std::string &account, CostClass costClass = CostClass::Short,
                 bool suspect = false, std::uint32_t deadlineMs = 30000)
    {
        const OfferKey key = nextKey();
        CHECK(queue.add(key, makeOffer(key, account, costClass, suspect, deadlineMs), now)
              == std::nullopt);
        return key;
    }

    OfferKey nextKey() { return OfferKey{1, OfferId(++lastOffer)}; }

    static Offer makeOffer(const OfferKey &key, const std::string &account, CostClass costClass,
                           bool suspect = false, std::uint32_t deadlineMs = 30000)
    {
        Offer offer;
        offer.offer = key.offer;
        offer.flow = FlowId{AccountId(account), ServiceId("s")};
        offer.costClass = costClass;
        offer.suspect = suspect;
        offer.deadlineMs = deadlineMs;
        return offer;
    }

    /// Takes the next offer to grant and returns its account; empty when there is none.
    std::string take(const SlotState &slots)
    {
        const auto taken = queue.takeNext(now, slots, [this](const FlowId &flow) {
            return Position(positions[flow.account.value]);
        });
        return taken ? taken->offer.flow.account.value : "";
    }
};

constexpr SlotState idle{8, 0, 0, false};

} // namespace

// Guards against grants in an order other than that of the fairness positions.
TEST_CASE_METHOD(OfferQueueFixture, "offer queue, two flows waiting, grants the lower position")
{
    positions = {{"a", 10}, {"b", 5}};
    add("a");
    add("b");
    CHECK(take(idle) == "b");
    CHECK(take(idle) == "a");
    CHECK(take(idle).empty());
}

// Guards against grants by outdated positions when so many flows wait that positions are cached.
TEST_CASE_METHOD(OfferQueueFixture,
                 "offer queue, 500 flows whose positions rise, grants the lowest")
{
    std::mt19937 random(3);
    for (int i = 0; i < 1500; ++i) {
        positions["f" + std::to_string(i % 500)] = static_cast<double>(random() % 1000);
        add("f" + std::to_string(i % 500));
    }
    std::map<std::string, int> waiting;
    for (const auto &[account, position] : positions)
        waiting[account] = 3;
    while (!waiting.empty()) {
        double lowest = 1e9;
        for (const auto &[account, count] : waiting)
            lowest = std::min(lowest, positions[account]);
        const std::string account = take(idle);
        REQUIRE(positions[account] == lowest);
        positions[account] += static_cast<double>(random() % 100);
        if (--waiting[account] == 0)
            waiting.erase(account);
    }
    CHECK(queue.size() == 0);
}

// Guards against short requests that wait for long ones to end (head-of-line blocking).
TEST_CASE_METHOD(OfferQueueFixture, "offer queue, long work fills the limit, grants only short")
{
    positions = {{"long", 0}, {"short", 9}};
    add("long", CostClass::Long);
    add("short");
    add("short");
    CHECK(take({8, 0, 8, false}) == "short");
    CHECK(take({8, 1, 8, false}).empty());
    CHECK(take({8, 8, 0, false}).empty());
}

// Guards against long requests that starve while their own account keeps sending short ones.
TEST_CASE_METHOD(OfferQueueFixture, "offer queue, a long offer has aged, goes before newer short")
{
    const OfferKey aged = add("a", CostClass::Long);
    add("a");
    const auto zero = [](const FlowId &) { return Position(0); };
    SECTION("young")
    {
        CHECK(queue.takeNext(now, idle, zero)->key != aged);
    }
    SECTION("aged")
    {
        now += milliseconds(2000);
        CHECK(queue.takeNext(now, idle, zero)->key == aged);
    }
}

// Guards against one account that fills the agent's queue, so that others are refused.
TEST_CASE_METHOD(OfferQueueFixture, "offer queue, one account floods, refuses only that account")
{
    for (int i = 0; i < 3; ++i)
        add("flood");
    const OfferKey key = nextKey();
    CHECK(queue.add(key, makeOffer(key, "flood", CostClass::Short), now)
          == RefusalReason::AgentQueueFull);
    add("other");
    CHECK(take(idle) == "flood");
    add("flood");
}

// Guards against a crash suspect that runs beside other requests, which would fail if the server
// crashed again, and against one that blocks the queue for more than 2 s.
TEST_CASE_METHOD(OfferQueueFixture, "offer queue, a suspect waits, runs it alone")
{
    positions = {{"a", 0}, {"b", 5}};
    add("a", CostClass::Short, true);
    add("b");
    CHECK(take({8, 1, 0, false}).empty());
    SECTION("the server becomes idle")
    {
        CHECK(take(idle) == "a");
        CHECK(take({8, 1, 0, true}).empty());
        CHECK(take({8, 0, 0, true}).empty());
        CHECK(take(idle) == "b");
    }
    SECTION("the server stays busy")
    {
        now += milliseconds(1999);
        CHECK(take({8, 1, 0, false}).empty());
        now += milliseconds(1);
        CHECK(take({8, 1, 0, false}) == "b");
        add("b");
        CHECK(take({8, 1, 0, false}) == "b");
        CHECK(take(idle) == "a");
    }
}

// Guards against offers that stay in the queue after their deadline, their withdrawal or the close
// of their link, and against other offers that are removed with them.
TEST_CASE_METHOD(OfferQueueFixture, "offer queue, offers end early, are removed exactly once")
{
    const OfferKey expired = add("a", CostClass::Short, false, 100);
    const OfferKey withdrawn = add("a", CostClass::Long);
    const OfferKey otherLink{2, OfferId(1)};
    queue.add(otherLink, makeOffer(otherLink, "b", CostClass::Short), now);
    add("b");
    CHECK(queue.takeExpired(now).empty());
    now += milliseconds(100);
    const auto taken = queue.takeExpired(now);
    REQUIRE(taken.size() == 1);
    CHECK(taken[0].key == expired);
    CHECK(queue.withdraw(withdrawn));
    CHECK_FALSE(queue.withdraw(withdrawn));
    CHECK(queue.waitingFlows().size() == 1);
    queue.withdrawLink(2);
    CHECK(queue.size() == 1);
    CHECK(queue.takeAll().size() == 1);
    CHECK(queue.waitingFlows().empty());
}
