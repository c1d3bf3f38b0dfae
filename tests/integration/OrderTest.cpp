#include "integration/Fleet.h"

#include <catch2/catch.hpp>

#include <random>
#include <thread>

using namespace lovagecourse::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned orderSeed = 5;
// A new incarnation waits 3 s for orders that a former one may still send.
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
    /// Submits the next note, which contains one order.
    void order(const std::string &action, const std::string &argument)
    {
        const CommandResult result = fleet->submitNote(
                "follows = " + std::to_string(lastNote++) + "\ntitle = \"order\"\n"
                + "[[orders]]\nserver = \"engine-1\"\naction = \"" + action + "\"\nargument = \""
                + argument + "\"\n");
        CAPTURE(result.output);
        REQUIRE(result.exitCode == 0);
    }

    bool isAccepted(const std::string &argument) const
    {
        for (const auto &order : fleet->acceptedOrders("engine-1")) {
            if (order["argument"] == argument)
                return true;
        }
        return false;
    }

    bool waitAccepted(const std::string &argument) const
    {
        return waitUntil(deliveryLimit, [&] { return isAccepted(argument); });
    }

    /// Number of records in the claims log; here these are agents' starts and announced orders.
    std::size_t claimRecords() const
    {
        return getJson(fleet->platformUrl() + "/streams/claims/records?from=0&max=256")["records"]
                .size();
    }

    /// Starts a second agent for the engine at other addresses, as a failover does.
    void startAgent(const std::string &name) const
    {
        const auto endpoint = [] { return '"' + Fleet::freeEndpoint() + '"'; };
        fleet->startCopy("agent-engine-1", name,
                         {{"name", '"' + name + '"'},
                          {"links", endpoint()},
                          {"admin", endpoint()},
                          {"datagrams", endpoint()}});
    }

    void checkFencingNeverDecreases() const
    {
        const nlohmann::json orders = fleet->acceptedOrders("engine-1");
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

// Guards against reordered orders, and against a restarted agent that sends old orders to the
// server again.
TEST_CASE_METHOD(OrderFixture, "orders, several notes and a restarted agent, arrive in order")
{
    const bool checksFencing = GENERATE(false, true);
    fleet = std::make_unique<Fleet>(orderFleet(checksFencing));
    order("load-model", "model-1");
    order("load-adapter", "adapter-1");
    order("set-role", "prefill");
    REQUIRE(waitAccepted("prefill"));
    CHECK(isAccepted("model-1"));
    CHECK(isAccepted("adapter-1"));
    fleet->restart("agent-engine-1");
    order("load-model", "model-2");
    REQUIRE(waitAccepted("model-2"));
    order("load-adapter", "adapter-2");
    REQUIRE(waitAccepted("adapter-2"));
    checkFencingNeverDecreases();
}

// Guards against an agent that was suspended, replaced by another one and sends old orders when it
// resumes, and against two agents that send orders at the same time.
TEST_CASE_METHOD(OrderFixture,
                 "orders, agent suspended and another started, server accepts none older")
{
    const bool checksFencing = GENERATE(false, true);
    fleet = std::make_unique<Fleet>(orderFleet(checksFencing));
    order("set-role", "first");
    REQUIRE(waitAccepted("first"));
    std::string owner = "agent-engine-1";
    for (int round = 1; round <= 2; ++round) {
        const std::string suffix = "-" + std::to_string(round);
        // Suspends the agent at a random point of the processing of the order.
        order("load-adapter", "adapter" + suffix);
        std::this_thread::sleep_for(milliseconds(random() % 40));
        fleet->process(owner).suspend();
        order("load-model", "model" + suffix);
        const std::string next = "agent" + suffix;
        startAgent(next);
        REQUIRE(waitAccepted("model" + suffix));
        fleet->process(owner).resume();
        // Both agents are running now.
        order("set-role", "role" + suffix);
        REQUIRE(waitAccepted("role" + suffix));
        checkFencingNeverDecreases();
        owner = next;
    }
    // The suspended agents have had time to send their pending orders.
    const std::size_t before = fleet->acceptedOrders("engine-1").size();
    order("unload-model", "last");
    REQUIRE(waitAccepted("last"));
    CHECK(fleet->acceptedOrders("engine-1").size() >= before + 1);
    checkFencingNeverDecreases();
}

// Guards against an agent that is suspended while the announcement of its order is on its way back,
// and on resuming takes that announcement as evidence that it has read the whole log.
TEST_CASE_METHOD(OrderFixture,
                 "orders, agent suspended before it reads its announcement, server accepts none "
                 "older")
{
    // Longer than the agent takes to try the order again.
    const nlohmann::json delay{{"delay_ms", 200}};
    FleetOptions options = orderFleet(false);
    options.proxied = true;
    fleet = std::make_unique<Fleet>(options);
    order("set-role", "first");
    REQUIRE(waitAccepted("first"));
    REQUIRE(fleet->setFault("agent-engine-1>platform", delay));
    const std::size_t before = claimRecords();
    order("load-adapter", "adapter");
    REQUIRE(waitUntil(deliveryLimit, [&] { return claimRecords() > before; }));
    fleet->process("agent-engine-1").suspend();
    REQUIRE(fleet->setFault("agent-engine-1>platform", nlohmann::json::object()));
    order("load-model", "model");
    startAgent("successor");
    REQUIRE(waitAccepted("model"));
    REQUIRE(fleet->setFault("agent-engine-1>platform", delay));
    fleet->process("agent-engine-1").resume();
    order("set-role", "last");
    REQUIRE(waitAccepted("last"));
    checkFencingNeverDecreases();
}
