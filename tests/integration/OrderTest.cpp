#include "integration/Fleet.h"

#include <catch2/catch.hpp>

#include <random>
#include <thread>

using namespace lovagecourse::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned orderSeed = 5;
// A new run waits 3 s for what a former one may still send.
constexpr seconds deliveryLimit{12};

FleetOptions orderFleet(bool checksFencing)
{
    FleetOptions options;
    options.entries = 1;
    options.engines = 1;
    options.desks = 0;
    if (checksFencing)
        options.engineOptions = {"--checks-fencing"};
    return options;
}

struct OrderFixture
{
    /// Submits the next note, with one order.
    void order(const std::string &action, const std::string &argument)
    {
        const CommandResult result = fleet->submitNote(
                "follows = " + std::to_string(lastNote++) + "\ntitle = \"order\"\n"
                + "[[orders]]\nserver = \"engine-1\"\naction = \"" + action + "\"\nargument = \""
                + argument + "\"\n");
        CAPTURE(result.output);
        REQUIRE(result.exitCode == 0);
    }

    bool isTaken(const std::string &argument) const
    {
        for (const auto &order : fleet->takenOrders("engine-1")) {
            if (order["argument"] == argument)
                return true;
        }
        return false;
    }

    bool waitTaken(const std::string &argument) const
    {
        return waitUntil(deliveryLimit, [&] { return isTaken(argument); });
    }

    /// Starts a second agent for the engine, as a failover on another slot would.
    void startAgent(const std::string &name) const
    {
        const auto endpoint = [] { return '"' + Fleet::freeEndpoint() + '"'; };
        fleet->startCopy("agent-engine-1", name,
                         {{"name", '"' + name + '"'},
                          {"links", endpoint()},
                          {"admin", endpoint()},
                          {"datagrams", endpoint()}});
    }

    void checkNeverOlder() const
    {
        const nlohmann::json orders = fleet->takenOrders("engine-1");
        CAPTURE(orders.dump(), orderSeed);
        std::uint64_t newest = 0;
        for (const auto &order : orders) {
            CHECK(order["fencing"].get<std::uint64_t>() >= newest);
            newest = std::max(newest, order["fencing"].get<std::uint64_t>());
        }
    }

    std::unique_ptr<Fleet> fleet;
    int lastNote = 1;
    std::mt19937 random{orderSeed};
};

} // namespace

// Guards against orders that overtake each other, and against a restarted agent that gives the
// server old orders again.
TEST_CASE_METHOD(OrderFixture, "orders, several notes and a restarted agent, arrive in order")
{
    const bool checksFencing = GENERATE(false, true);
    fleet = std::make_unique<Fleet>(orderFleet(checksFencing));
    order("load-model", "model-1");
    order("load-adapter", "adapter-1");
    order("set-role", "prefill");
    REQUIRE(waitTaken("prefill"));
    CHECK(isTaken("model-1"));
    CHECK(isTaken("adapter-1"));
    fleet->restart("agent-engine-1");
    order("load-model", "model-2");
    REQUIRE(waitTaken("model-2"));
    order("load-adapter", "adapter-2");
    REQUIRE(waitTaken("adapter-2"));
    checkNeverOlder();
}

// Guards against an agent that was paused, lost its server to another one and gives old orders
// when it goes on, and against two agents that give orders at the same time.
TEST_CASE_METHOD(OrderFixture, "orders, agent paused and another started, server sees none older")
{
    const bool checksFencing = GENERATE(false, true);
    fleet = std::make_unique<Fleet>(orderFleet(checksFencing));
    order("set-role", "first");
    REQUIRE(waitTaken("first"));
    std::string owner = "agent-engine-1";
    for (int round = 1; round <= 2; ++round) {
        const std::string suffix = "-" + std::to_string(round);
        // The pause begins at a random point of the order's way.
        order("load-adapter", "adapter" + suffix);
        std::this_thread::sleep_for(milliseconds(random() % 40));
        fleet->process(owner).freeze();
        order("load-model", "model" + suffix);
        const std::string next = "agent" + suffix;
        startAgent(next);
        REQUIRE(waitTaken("model" + suffix));
        fleet->process(owner).thaw();
        // Both run now.
        order("set-role", "role" + suffix);
        REQUIRE(waitTaken("role" + suffix));
        checkNeverOlder();
        owner = next;
    }
    // The paused agents had the time to give what they held.
    const std::size_t before = fleet->takenOrders("engine-1").size();
    order("unload-model", "last");
    REQUIRE(waitTaken("last"));
    CHECK(fleet->takenOrders("engine-1").size() >= before + 1);
    checkNeverOlder();
}
