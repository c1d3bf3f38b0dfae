#include "integration/Fleet.h"
#include "integration/ServiceMeter.h"

#include "fairness/HomePlacement.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;
using namespace lovagecourse::test;
using std::chrono::milliseconds;

namespace {

constexpr double maxRequestTokens = 100;
// An agent considers an unresponsive entry dead after 3 s and reports every 250 ms.
constexpr double detectionSeconds = 3.25;
constexpr milliseconds measuredTime{8000};
constexpr unsigned fleetSeed = 11;

FleetOptions smallFleet()
{
    FleetOptions options;
    options.entries = 3;
    options.engines = 4;
    options.desks = 0;
    options.proxied = true;
    options.seed = fleetSeed;
    options.maxLimit = 4;
    options.accounts = {{"single", 1.5}, {"wide", 1}, {"flood", 1}};
    options.engineOptions = {"--base-gap-ms", "5", "--prefill-ms", "5"};
    return options;
}

/// Three backlogged accounts: "single" uses the first entry only, "wide" uses all entries but a
/// model that two of the four engines serve, "flood" has four times as many callers.
struct FairnessFixture
{
    FairnessFixture()
    {
        const std::string models = "models = [\"m\", \"n\"]\n";
        const CommandResult changed =
                fleet.submitNote("follows = 1\ntitle = \"second model\"\n"
                                 "[[changed.servers]]\nname = \"engine-1\"\n"
                                 + models + "[[changed.servers]]\nname = \"engine-2\"\n" + models);
        REQUIRE(changed.exitCode == 0);
    }

    /// True if the entry is the home of at least one account's flow.
    static bool isHome(const std::string &entry)
    {
        const std::vector<DaemonId> entries{DaemonId("entry-1"), DaemonId("entry-2"),
                                            DaemonId("entry-3")};
        const auto isHomeOf = [&](const char *account) {
            return chooseHome({AccountId(account), ServiceId("chat")}, entries) == DaemonId(entry);
        };
        return isHomeOf("single") || isHomeOf("wide") || isHomeOf("flood");
    }

    /// Starts the callers and waits until every account has received tokens and has queued
    /// requests.
    void startCallers(const std::vector<int> &entries)
    {
        REQUIRE(isHome("entry-3"));
        std::vector<std::string> urls;
        urls.reserve(entries.size());
        for (const int entry : entries)
            urls.push_back(fleet.entryUrl(entry));
        meter.addAccount("single", 1.5, {urls.front()}, "m", 24);
        meter.addAccount("wide", 1, urls, "n", 24);
        meter.addAccount("flood", 1, urls, "m", 96);
        REQUIRE(waitUntil(std::chrono::seconds(5), [this] {
            return isBacklogged("single") && isBacklogged("wide") && isBacklogged("flood");
        }));
        meter.start();
    }

    bool isBacklogged(const std::string &account) const
    {
        for (int entry = 1; entry <= 3; ++entry) {
            const nlohmann::json page = fleet.status("entry-" + std::to_string(entry));
            if (!page.is_object())
                continue;
            for (const auto &row : page["backlogs"]) {
                if (row["account"] == account)
                    return meter.tokens(account) > 0;
            }
        }
        return false;
    }

    /// Checks the service gap over [from, to] (seconds) against the bound of the design page plus
    /// the detection time: the capacity of 1 s + detection, and twice the largest request.
    void checkGap(double from, double to, double detection) const
    {
        const double capacity = meter.capacity();
        const double gap = meter.largestGap(from, to);
        const double bound = capacity * (1 + detection) + 2 * maxRequestTokens;
        CAPTURE(fleetSeed, from, to, capacity, gap, bound);
        WARN("gap " << gap << " of at most " << bound << ", capacity " << capacity << " tokens/s, "
                    << meter.describe());
        CHECK(capacity > 500);
        CHECK(gap <= bound);
    }

    /// Checks that no account waited longer than it takes the others to make up for the largest
    /// permitted gap, plus one request of the largest cost that may be running.
    void checkServed(double detection) const
    {
        const double capacity = meter.capacity();
        const double shares = 3.5;
        const double limit =
                (capacity * (1 + detection) + 3 * maxRequestTokens) * shares / capacity;
        for (const std::string account : {"single", "wide", "flood"}) {
            CAPTURE(account, capacity, limit);
            CHECK(meter.longestWait(account) <= limit);
        }
    }

    /// Starts or ends a network partition between entry 3 and all agents, peers and the platform.
    /// Connections stay open.
    void setPartitioned(bool partitioned) const
    {
        REQUIRE(fleet.setFaults("entry-3>", {{"freeze", partitioned}}));
        for (const std::string &daemon : fleet.daemons()) {
            if (daemon != "entry-3")
                REQUIRE(fleet.setFaults(daemon + ">entry-3", {{"freeze", partitioned}}));
        }
    }

    Fleet fleet{smallFleet()};
    ServiceMeter meter{fleetSeed};
};

} // namespace

// Guards against an account that gains service by more callers, entries or eligible servers
// (guarantee G1), and against starvation by another account's flood (guarantee G2).
TEST_CASE_METHOD(FairnessFixture, "fairness, three backlogged accounts and a flood, gap is bounded")
{
    startCallers({1, 2, 3});
    meter.sampleFor(measuredTime);
    checkGap(0, meter.elapsed(), 0);
    checkServed(0);
}

// Guards against positions that are lost or reset when the flow's home crashes.
TEST_CASE_METHOD(FairnessFixture, "fairness, entry that is only a home killed, gap is bounded")
{
    startCallers({1, 2});
    meter.sampleFor(milliseconds(3000));
    fleet.process("entry-3").kill();
    meter.sampleFor(milliseconds(5000));
    checkGap(0, meter.elapsed(), 0);
    checkServed(0);
}

// Guards against a restarted entry that acts as a home and reports positions of 0.
TEST_CASE_METHOD(FairnessFixture, "fairness, entry restarts empty, gap is bounded")
{
    startCallers({1, 2, 3});
    meter.sampleFor(milliseconds(2500));
    fleet.restart("entry-3");
    meter.sampleFor(milliseconds(6000));
    CHECK(fleet.isUsable(3, "engine-1"));
    checkGap(0, meter.elapsed(), 0);
    checkServed(0);
}

// Guards against agents that keep using the positions of an unreachable home, and against an entry
// that reports outdated positions after a partition.
TEST_CASE_METHOD(FairnessFixture, "fairness, entry partitioned and back, gap is bounded and closes")
{
    startCallers({1, 2, 3});
    meter.sampleFor(milliseconds(1500));
    const double partitionedAt = meter.elapsed();
    setPartitioned(true);
    // Longer than the detection time, so the gap that arises in it closes before the partition
    // ends.
    meter.sampleFor(milliseconds(5500));
    setPartitioned(false);
    const double healedAt = meter.elapsed();
    meter.sampleFor(milliseconds(3500));
    checkGap(0, partitionedAt, 0);
    // Until they detect the partition, agents use the last totals plus their own service.
    checkGap(0, meter.elapsed(), detectionSeconds);
    checkGap(healedAt, meter.elapsed(), 0);
    CHECK(meter.lastGap() <= meter.capacity() + 2 * maxRequestTokens);
    checkServed(detectionSeconds);
}
