#include "../../standins/AnswerCheck.h"
#include "integration/Fleet.h"
#include "integration/StreamCall.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

using namespace lovagecourse;
using namespace lovagecourse::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Longer than an entry's grace period for balancers plus any request of these tests.
constexpr seconds exitLimit{20};
constexpr seconds startLimit{20};

struct ShutdownFixture
{
    static FleetOptions options()
    {
        FleetOptions options;
        options.desks = 2;
        options.engineOptions = {"--base-gap-ms", "10", "--prefill-ms", "10"};
        options.deskOptions = {"--service-ms", "300"};
        return options;
    }

    int terminate(const std::string &daemon)
    {
        fleet.process(daemon).signal(SIGTERM);
        return fleet.process(daemon).waitForExit(exitLimit).value_or(-1);
    }

    std::unique_ptr<StreamCall> startStream(int entry, const std::string &prompt, int tokens) const
    {
        const json body{{"model", "m"},
                        {"stream", true},
                        {"max_tokens", tokens},
                        {"messages", {{{"role", "user"}, {"content", prompt}}}}};
        return std::make_unique<StreamCall>(
                fleet.entryUrl(entry) + "/v1/chat/completions", body.dump(),
                std::vector<std::string>{"Authorization: Bearer a-key", "X-Request-Id: " + prompt});
    }

    static bool isComplete(const HttpOutcome &outcome, const std::string &prompt, int tokens)
    {
        AnswerCheck check(prompt, tokens);
        check.append(outcome.body);
        return outcome.isComplete() && outcome.status == 200 && check.isComplete();
    }

    bool isReady(int entry) const
    {
        const HttpOutcome page =
                call("GET", fleet.entryUrl(entry) + "/readyz", {}, "", milliseconds(500));
        return page.isComplete() && page.status == 200;
    }

    Fleet fleet{options()};
};

/// Callers behind a simulated load balancer that polls /readyz of every entry.
struct BalancedFixture : ShutdownFixture
{
    static constexpr int callerCount = 12;

    BalancedFixture()
    {
        threads.emplace_back([this] { pollReadiness(); });
        for (int i = 0; i < callerCount; ++i)
            threads.emplace_back([this, i] { runCaller(i); });
    }

    ~BalancedFixture() { stopCallers(); }

    void stopCallers()
    {
        stopping = true;
        for (std::thread &thread : threads)
            thread.join();
        threads.clear();
    }

    void pollReadiness()
    {
        while (!stopping) {
            for (int entry = 1; entry <= 2; ++entry)
                ready[static_cast<std::size_t>(entry)] = isReady(entry);
            std::this_thread::sleep_for(milliseconds(100));
        }
    }

    void runCaller(int caller)
    {
        for (int i = 0; !stopping; ++i) {
            const std::string prompt = std::to_string(caller) + " asks " + std::to_string(i);
            const std::string key = makeUuid7();
            const bool books = caller % 4 == 0;
            bool repeats = true;
            while (repeats) {
                const int first = 1 + (caller + i) % 2;
                const int entry = ready[static_cast<std::size_t>(first)] ? first : 3 - first;
                const HttpOutcome outcome = books ? fleet.book(entry, "a", key, seconds(20))
                                                  : fleet.chat(entry, "b", prompt, 20, true);
                // CURLE_COULDNT_CONNECT: nothing was sent, so a balancer tries another entry.
                repeats = outcome.curlCode == 7;
                if (!repeats)
                    record(outcome,
                           books ? outcome.status == 201 : isComplete(outcome, prompt, 20));
            }
        }
    }

    void record(const HttpOutcome &outcome, bool isGood)
    {
        ++answers;
        if (isGood)
            return;
        const std::lock_guard lock(mutex);
        faults += "curl " + std::to_string(outcome.curlCode) + ", status "
                  + std::to_string(outcome.status) + ", " + outcome.body.substr(0, 200) + '\n';
    }

    std::array<std::atomic<bool>, 3> ready{false, true, true};
    std::atomic<bool> stopping{false};
    std::atomic<int> answers{0};
    std::mutex mutex;
    std::string faults;
    std::vector<std::thread> threads;
};

} // namespace

// Guards against an entry that interrupts its running requests or keeps accepting callers.
TEST_CASE_METHOD(ShutdownFixture, "entry, SIGTERM while requests run, completes them and exits")
{
    const auto stream = startStream(1, "long", 500);
    HttpOutcome booking;
    std::thread booker([&] { booking = fleet.book(1, "a", makeUuid7(), seconds(20)); });
    REQUIRE(waitUntil(seconds(10), [&] { return stream->received() > 2000; }));
    REQUIRE(isReady(1));
    fleet.process("entry-1").signal(SIGTERM);
    CHECK(waitUntil(seconds(1), [&] { return !isReady(1); }));
    CHECK(fleet.process("entry-1").waitForExit(exitLimit) == 0);
    booker.join();
    CHECK(isComplete(stream->outcome(), "long", 500));
    CHECK(booking.status == 201);
}

// Guards against agents that exit before the answers of their running requests have reached the
// entry.
TEST_CASE_METHOD(ShutdownFixture, "agents, SIGTERM while requests run, complete them and exit")
{
    const auto first = startStream(1, "first", 300);
    const auto second = startStream(2, "second", 300);
    REQUIRE(waitUntil(seconds(10),
                      [&] { return first->received() > 2000 && second->received() > 2000; }));
    HttpOutcome booking;
    std::thread booker([&] { booking = fleet.book(1, "a", makeUuid7(), seconds(20)); });
    const auto runs = [this] {
        return fleet.journal("desk-1")["runs"].size() + fleet.journal("desk-2")["runs"].size();
    };
    CHECK(waitUntil(seconds(10), [&] { return runs() == 1; }));
    const std::vector<std::string> agents{"agent-engine-1", "agent-engine-2", "agent-desk-1",
                                          "agent-desk-2"};
    for (const std::string &agent : agents)
        fleet.process(agent).signal(SIGTERM);
    for (const std::string &agent : agents)
        CHECK(fleet.process(agent).waitForExit(exitLimit) == 0);
    booker.join();
    CHECK(booking.status == 201);
    CHECK(isComplete(first->outcome(), "first", 300));
    CHECK(isComplete(second->outcome(), "second", 300));
    CHECK(fleet.metric("entry-1", "lovagecourse_retries_total{reason=\"agent-lost\"}") == 0);
}

// Guards against requests that a rolling restart of the fleet interrupts or refuses.
TEST_CASE_METHOD(BalancedFixture, "fleet, rolling restart under load, fails no request")
{
    REQUIRE(waitUntil(seconds(20), [&] { return answers > 50; }));
    for (const std::string &daemon : fleet.daemons()) {
        INFO(daemon);
        CHECK(terminate(daemon) == 0);
        fleet.restart(daemon);
        REQUIRE(fleet.waitUntilUsable(startLimit));
        const int before = answers;
        CHECK(waitUntil(seconds(20), [&] { return answers > before + 20; }));
    }
    stopCallers();
    INFO(faults);
    CHECK(faults.empty());
}
