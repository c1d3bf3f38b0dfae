#include "integration/Fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <random>
#include <set>
#include <thread>

using namespace lovagecourse::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Outcomes of all calls with one idempotency key.
struct KeyCalls
{
    std::string key;
    std::vector<HttpOutcome> outcomes;
};

FleetOptions deskFleet(int desks, const std::string &settings = {})
{
    FleetOptions options;
    options.engines = 0;
    options.desks = desks;
    options.proxied = true;
    options.settings = settings;
    return options;
}

/// Five threads that send bookings. Each key is used in three rounds of calls at random entries.
class Callers
{
public:
    Callers(const Fleet &fleet, unsigned seed)
        : fleet_(fleet)
    {
        for (unsigned i = 0; i < 5; ++i)
            threads_.emplace_back([this, seed, i] { run(seed * 100 + i); });
    }
    ~Callers() { stop(); }

    std::vector<KeyCalls> stop()
    {
        stopping_ = true;
        for (std::thread &thread : threads_)
            thread.join();
        threads_.clear();
        return std::move(keys_);
    }

private:
    void run(unsigned seed)
    {
        std::mt19937 random(seed);
        while (!stopping_) {
            KeyCalls calls{makeUuid7(), {}};
            for (int attempt = 0; attempt < 3; ++attempt)
                callOnce(calls, 1 + static_cast<int>(random() % 2), random);
            const std::lock_guard lock(mutex_);
            keys_.push_back(std::move(calls));
        }
    }

    /// Sends one call; in a third of the cases a concurrent one goes to the other entry.
    void callOnce(KeyCalls &calls, int entry, std::mt19937 &random) const
    {
        const milliseconds deadline(300 + random() % 1000);
        const auto book = [this, key = calls.key, deadline](int at) {
            return fleet_.book(at, "a", key, deadline);
        };
        std::future<HttpOutcome> other;
        if (random() % 3 == 0)
            other = std::async(std::launch::async, book, 3 - entry);
        calls.outcomes.push_back(book(entry));
        if (other.valid())
            calls.outcomes.push_back(other.get());
    }

    const Fleet &fleet_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<KeyCalls> keys_;
    std::vector<std::thread> threads_;
};

/// Number of executions per key, summed over all desks.
std::map<std::string, int> runsByKey(const Fleet &fleet, int desks)
{
    std::map<std::string, int> runs;
    for (int desk = 1; desk <= desks; ++desk) {
        const nlohmann::json journal = fleet.journal("desk-" + std::to_string(desk));
        for (const auto &[key, count] : journal["runs"].items())
            runs[key] += count.get<int>();
    }
    return runs;
}

bool isLeaving(const Fleet &fleet, const std::string &daemon)
{
    const nlohmann::json page = fleet.status(daemon);
    return page.is_object() && page.value("leaving", false);
}

/// Compares the answers to the calls of one key with the number of its executions.
void checkKey(const KeyCalls &calls, int runs)
{
    CAPTURE(calls.key, runs);
    CHECK(runs <= 1);
    std::set<std::string> answers;
    bool knownToRun = false;
    bool knownNotToRun = true;
    for (const HttpOutcome &outcome : calls.outcomes) {
        CAPTURE(outcome.curlCode, outcome.status, outcome.body);
        CHECK(outcome.isComplete());
        const bool answered = outcome.status == 201;
        const std::string ran = outcome.ran();
        CHECK((answered || ran == "no" || ran == "unknown" || ran == "yes"));
        if (answered)
            answers.insert(outcome.body);
        knownToRun = knownToRun || answered || ran == "yes";
        knownNotToRun = knownNotToRun && ran == "no";
    }
    CHECK(answers.size() <= 1);
    if (knownToRun)
        CHECK(runs == 1);
    if (knownNotToRun)
        CHECK(runs == 0);
}

/// Checks all keys. After all servers are usable again, calls each key once more, which returns the
/// answer or the refusal "idempotency-key-unsettled", and checks all keys again.
void checkKeys(const Fleet &fleet, std::vector<KeyCalls> keys)
{
    REQUIRE(fleet.waitUntilUsable(seconds(15)));
    std::size_t answered = 0;
    const auto isAnswer = [](const HttpOutcome &outcome) { return outcome.status == 201; };
    std::map<std::string, int> runs = runsByKey(fleet, 2);
    for (KeyCalls &calls : keys) {
        answered += std::any_of(calls.outcomes.begin(), calls.outcomes.end(), isAnswer) ? 1 : 0;
        checkKey(calls, runs[calls.key]);
        const HttpOutcome last = fleet.book(1, "a", calls.key, seconds(5));
        calls.outcomes.push_back(last);
        CAPTURE(calls.key, last.body);
        CHECK((last.status == 201 || last.refusal() == "idempotency-key-unsettled"));
    }
    runs = runsByKey(fleet, 2);
    for (const KeyCalls &calls : keys)
        checkKey(calls, runs[calls.key]);
    // With fewer answers the scenario would not have exercised execution.
    CHECK(answered >= 10);
}

/// Runs callers and injects a fault repeatedly, at intervals of 200 to 700 ms.
void runScenario(const Fleet &fleet, unsigned seed, int faults,
                 const std::function<void(std::mt19937 &)> &fault,
                 const std::function<void()> &repair)
{
    CAPTURE(seed);
    std::mt19937 random(seed);
    Callers callers(fleet, seed);
    for (int i = 0; i < faults; ++i) {
        std::this_thread::sleep_for(milliseconds(200 + random() % 500));
        fault(random);
    }
    repair();
    checkKeys(fleet, callers.stop());
}

std::string pickDesk(std::mt19937 &random)
{
    return "desk-" + std::to_string(1 + random() % 2);
}

bool claimLogContains(const Fleet &fleet, const std::string &text)
{
    const auto page =
            getJson(fleet.platformUrl() + "/streams/claims/records?from=0&wait_ms=0&max=10000");
    return page.dump().find(text) != std::string::npos;
}

struct TwoDesksFixture
{
    Fleet fleet{deskFleet(2)};
};

struct OneDeskFixture
{
    Fleet fleet{deskFleet(1)};
    std::string key = makeUuid7();

    std::future<HttpOutcome> startBooking(milliseconds deadline)
    {
        return std::async(std::launch::async,
                          [this, deadline] { return fleet.book(1, "a", key, deadline); });
    }
    HttpOutcome bookAgain() { return fleet.book(2, "a", key, seconds(5)); }
    int runs() const { return runsByKey(fleet, 1)[key]; }
    bool waitForRun()
    {
        return waitUntil(seconds(5), [this] { return runs() == 1; });
    }
    bool waitForClaim()
    {
        return waitUntil(seconds(5), [this] { return claimLogContains(fleet, key); });
    }
    void restartAgent()
    {
        fleet.restart("agent-desk-1");
        REQUIRE(fleet.waitUntilUsable(seconds(15)));
    }
    /// Settings of a second agent for the same server: its name and its own addresses.
    static std::map<std::string, std::string> otherAddresses()
    {
        return {{"name", "\"agent-copy\""},
                {"admin", '"' + Fleet::freeEndpoint() + '"'},
                {"datagrams", '"' + Fleet::freeEndpoint() + '"'}};
    }
};

} // namespace

// Guards against a second execution of a booking whose agent crashed during the claim or the
// execution.
TEST_CASE_METHOD(TwoDesksFixture, "at most once, agents killed at random moments, one run per key")
{
    // Both delays widen the windows between claim, execution and answer, so that kills fall into
    // them.
    REQUIRE(fleet.setFaults("agent-desk-1>platform", {{"delay_ms", 30}}));
    REQUIRE(fleet.control("desk-2", {{"slow_factor", 5}}));
    const auto kill = [this](std::mt19937 &random) { fleet.restart("agent-" + pickDesk(random)); };
    runScenario(fleet, 11, 10, kill, [this] {
        fleet.restart("agent-desk-1");
        fleet.restart("agent-desk-2");
    });
}

// Guards against a second execution when the answer of the desk, or the answer to the append of a
// claim, is lost.
TEST_CASE_METHOD(TwoDesksFixture, "at most once, answers lost at random, one run per key")
{
    const auto lose = [this](std::mt19937 &random) {
        if (random() % 2 == 0)
            CHECK(fleet.control(pickDesk(random), {{"lose_answers", 1}}));
        else
            CHECK(fleet.control("platform", {{"mode", "lose-answers"}, {"count", 3}}));
    };
    runScenario(fleet, 12, 10, lose, [this] {
        CHECK(fleet.control("platform", {{"mode", "up"}}));
        CHECK(fleet.control("desk-1", {{"lose_answers", 0}}));
        CHECK(fleet.control("desk-2", {{"lose_answers", 0}}));
    });
}

// Guards against execution without a claim in the log, and against lost claims, when the platform
// fails while appends of claims and outcomes are in progress.
TEST_CASE_METHOD(TwoDesksFixture, "at most once, platform down at times, one run per key")
{
    const auto interrupt = [this](std::mt19937 &random) {
        CHECK(fleet.control("platform", {{"mode", "down"}}));
        std::this_thread::sleep_for(milliseconds(random() % 1500));
        CHECK(fleet.control("platform", {{"mode", "up"}}));
    };
    runScenario(fleet, 13, 6, interrupt, [] {});
}

// Guards against execution by an agent that was suspended and continues with an outdated state.
TEST_CASE_METHOD(TwoDesksFixture,
                 "at most once, agents suspended at random moments, one run per key")
{
    REQUIRE(fleet.setFaults("agent-desk-1>platform", {{"delay_ms", 30}}));
    const auto suspend = [this](std::mt19937 &random) {
        Process &agent = fleet.process("agent-" + pickDesk(random));
        agent.suspend();
        // Some pauses exceed the 3 s after which entries consider the link dead.
        std::this_thread::sleep_for(milliseconds(random() % 2 == 0 ? 3500 : random() % 1000));
        agent.resume();
    };
    runScenario(fleet, 14, 4, suspend, [] {});
}

// Guards against the loss of the claim's state when the agent crashes at any step of a booking.
TEST_CASE_METHOD(OneDeskFixture, "at most once, agent killed at each step, reports the known state")
{
    SECTION("before the claim")
    {
        REQUIRE(fleet.control("platform", {{"mode", "down"}}));
        auto booking = startBooking(seconds(5));
        REQUIRE(waitUntil(seconds(5),
                          [this] { return fleet.status("agent-desk-1")["in_flight"] == 1; }));
        fleet.process("agent-desk-1").kill();
        CHECK(booking.get().ran() == "unknown");
        REQUIRE(fleet.control("platform", {{"mode", "up"}}));
        restartAgent();
        CHECK(bookAgain().status == 201);
        CHECK(runs() == 1);
    }
    SECTION("between claim and run")
    {
        REQUIRE(fleet.setFault("agent-desk-1>platform", {{"delay_ms", 400}}));
        auto booking = startBooking(seconds(5));
        REQUIRE(waitForClaim());
        fleet.process("agent-desk-1").kill();
        CHECK(booking.get().ran() == "unknown");
        restartAgent();
        const HttpOutcome repeated = bookAgain();
        CHECK(repeated.refusal() == "idempotency-key-unsettled");
        CHECK(repeated.ran() == "unknown");
        CHECK(runs() == 0);
    }
    SECTION("between run and answer")
    {
        REQUIRE(fleet.control("desk-1", {{"slow_factor", 100}}));
        auto booking = startBooking(seconds(5));
        REQUIRE(waitForRun());
        fleet.process("agent-desk-1").kill();
        CHECK(booking.get().ran() == "unknown");
        restartAgent();
        CHECK(bookAgain().refusal() == "idempotency-key-unsettled");
        CHECK(runs() == 1);
    }
}

// Guards against execution by an agent that was suspended after its claim was accepted and replaced
// by a newer agent meanwhile.
TEST_CASE_METHOD(OneDeskFixture,
                 "at most once, agent suspended after its claim and replaced, does not run")
{
    REQUIRE(fleet.setFault("agent-desk-1>platform", {{"delay_ms", 400}}));
    auto booking = startBooking(milliseconds(1500));
    REQUIRE(waitForClaim());
    fleet.process("agent-desk-1").suspend();
    auto replaced = otherAddresses();
    replaced["links"] = '"' + Fleet::freeEndpoint() + '"';
    fleet.startCopy("agent-desk-1", "agent-copy", replaced);
    CHECK(waitUntil(seconds(10), [this] { return claimLogContains(fleet, "agent-copy"); }));
    CHECK(booking.get().ran() == "unknown");
    fleet.process("agent-desk-1").resume();
    // The older agent detects that it was replaced and accepts no further requests.
    CHECK(waitUntil(seconds(10), [this] { return isLeaving(fleet, "agent-desk-1"); }));
    CHECK(runs() == 0);
    // It also abandons its claim with a void entry, which releases the key.
    CHECK(waitUntil(seconds(10), [this] { return claimLogContains(fleet, "\\\"void\\\""); }));
    CHECK(runs() == 0);
    fleet.process("agent-copy").kill();
    restartAgent();
    CHECK(bookAgain().status == 201);
    CHECK(runs() == 1);
}

// Guards against two agents that send requests to one server at the same time.
TEST_CASE_METHOD(TwoDesksFixture, "at most once, second agent of a server, one run per key")
{
    fleet.startCopy("agent-desk-1", "agent-twin", OneDeskFixture::otherAddresses());
    const auto exitCode = fleet.process("agent-twin").waitForExit(seconds(10));
    CAPTURE(exitCode.value_or(-1));
    CHECK((exitCode == 1 || exitCode == 2));

    const auto replace = [this](std::mt19937 &) {
        auto replaced = OneDeskFixture::otherAddresses();
        replaced["links"] = '"' + Fleet::freeEndpoint() + '"';
        fleet.startCopy("agent-desk-1", "agent-copy", replaced);
        CHECK(waitUntil(seconds(10), [this] { return isLeaving(fleet, "agent-desk-1"); }));
        fleet.process("agent-copy").kill();
        fleet.restart("agent-desk-1");
    };
    runScenario(fleet, 15, 3, replace, [] {});
}

// Guards against a second execution of a key whose claim has expired from the log.
TEST_CASE("at most once, key whose record expired, is answered or refused as too old")
{
    const seconds window(5);
    Fleet fleet(deskFleet(1, "[limits]\nkey_window_s = " + std::to_string(window.count())));
    const std::string key = makeUuid7();
    const auto createdAt = std::chrono::steady_clock::now();
    const HttpOutcome first = fleet.book(1, "a", key, seconds(5));
    REQUIRE(first.status == 201);
    REQUIRE(waitUntil(seconds(5), [&] {
        const auto page = getJson(fleet.platformUrl() + "/streams/claims/records?from=0");
        return page.dump().find("outcome") != std::string::npos;
    }));
    REQUIRE(postJson(fleet.platformUrl() + "/control/expire",
                     {{"stream", "claims"}, {"before", 1000}}));
    CHECK(fleet.book(2, "a", key, seconds(5)).body == first.body);
    fleet.restart("agent-desk-1");
    REQUIRE(fleet.waitUntilUsable(seconds(15)));
    std::this_thread::sleep_until(createdAt + window + milliseconds(100));
    for (const int entry : {1, 2}) {
        const HttpOutcome repeated = fleet.book(entry, "a", key, seconds(5));
        CHECK(repeated.refusal() == "idempotency-key-too-old");
        // The first call was executed, so "no" would be wrong.
        CHECK(repeated.ran() == "unknown");
    }
    CHECK(runsByKey(fleet, 1)[key] == 1);
}
