#include "../../standins/AnswerCheck.h"
#include "integration/Fleet.h"
#include "integration/StreamCall.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <thread>

using namespace lovagecourse;
using namespace lovagecourse::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class AnswerClass { Complete, Refused, Failed, Wrong };

/// Compares the answer that the HTTP client received with the expected one.
AnswerClass classifyOutcome(const HttpOutcome &outcome, const std::string &prompt, int tokens,
                            bool stream)
{
    if (!outcome.isComplete())
        return AnswerClass::Failed;
    if (outcome.status != 200)
        return outcome.refusal().empty() ? AnswerClass::Wrong : AnswerClass::Refused;
    if (!stream)
        return isExpectedAnswer(outcome.body, prompt, tokens) ? AnswerClass::Complete
                                                              : AnswerClass::Wrong;
    AnswerCheck check(prompt, tokens);
    check.append(outcome.body);
    return check.isComplete() ? AnswerClass::Complete : AnswerClass::Wrong;
}

std::string chatBody(const std::string &prompt, int tokens)
{
    return json{{"model", "m"},
                {"stream", true},
                {"max_tokens", tokens},
                {"messages", {{{"role", "user"}, {"content", prompt}}}}}
            .dump();
}

FleetOptions fastFleet(int entries, int engines, const std::string &gapMs)
{
    FleetOptions options;
    options.entries = entries;
    options.engines = engines;
    options.desks = 0;
    options.proxied = true;
    options.engineOptions = {"--base-gap-ms", gapMs, "--prefill-ms", "10"};
    return options;
}

/// Base of the fixtures with a single stream.
struct StreamFixture
{
    explicit StreamFixture(FleetOptions options)
        : fleet(std::move(options))
    {}

    std::unique_ptr<StreamCall> startStream(const std::string &prompt, int tokens,
                                            milliseconds deadline = seconds(50)) const
    {
        return std::make_unique<StreamCall>(
                fleet.entryUrl(1) + "/v1/chat/completions", chatBody(prompt, tokens),
                std::vector<std::string>{"Authorization: Bearer a-key", "X-Request-Id: " + prompt,
                                         "X-Deadline-Ms: " + std::to_string(deadline.count())});
    }

    /// First engine that received the request; empty if none did.
    std::string engineOf(const std::string &id, int engines) const
    {
        for (int i = 1; i <= engines; ++i) {
            std::string engine = "engine-" + std::to_string(i);
            if (fleet.journal(engine)["requests"].contains(id))
                return engine;
        }
        return {};
    }

    Fleet fleet;
};

struct ResumeFixture : StreamFixture
{
    ResumeFixture()
        : StreamFixture(fastFleet(1, 2, "10"))
    {}
};

struct HedgeFixture : StreamFixture
{
    HedgeFixture()
        : StreamFixture(fastFleet(1, 2, "4"))
    {}
};

struct LastServerFixture : StreamFixture
{
    LastServerFixture()
        : StreamFixture(fastFleet(1, 1, "10"))
    {}
};

struct SlowCallerFixture : StreamFixture
{
    SlowCallerFixture()
        : StreamFixture(fastFleet(1, 1, "0.02"))
    {}
};

struct ManyAnswersFixture
{
    static constexpr int requestCount = 2000;
    static constexpr int callerCount = 64;
    static constexpr int entryCount = 3;
    static constexpr int maxTries = 20;

    void runCaller()
    {
        for (int i = next++; i < requestCount; i = next++) {
            const std::string prompt = "question " + std::to_string(i);
            const int tokens = 1 + (i * 7) % 30;
            const bool stream = i % 2 == 0;
            AnswerClass answerClass = AnswerClass::Failed;
            for (int attempt = 0; attempt < maxTries && answerClass != AnswerClass::Complete;
                 ++attempt) {
                const int entry = 1 + (i + attempt) % entryCount;
                const HttpOutcome outcome =
                        fleet.chat(entry, i % 3 ? "a" : "b", prompt, tokens, stream);
                answerClass = classifyOutcome(outcome, prompt, tokens, stream);
                record(answerClass, outcome);
                // A restarting entry refuses connections for some tenths of a second.
                if (answerClass == AnswerClass::Failed)
                    std::this_thread::sleep_for(milliseconds(50));
            }
        }
    }

    void record(AnswerClass answerClass, const HttpOutcome &outcome)
    {
        const std::lock_guard lock(mutex);
        ++counts[answerClass];
        if (answerClass == AnswerClass::Refused)
            ++incompleteReasons[outcome.refusal()];
        else if (answerClass != AnswerClass::Complete)
            ++incompleteReasons["curl " + std::to_string(outcome.curlCode)];
    }

    bool waitForAnswers(int answers) const
    {
        return waitUntil(seconds(60), [&] { return next >= std::min(answers, requestCount); });
    }

    void injectFaults()
    {
        waitForAnswers(300);
        fleet.setFaults("entry-1>agent-engine-1/links", {{"cut", true}});
        fleet.control("engine-4", {{"slow_factor", 30}});
        waitForAnswers(500);
        fleet.setFaults("entry-1>agent-engine-1/links", delays);
        fleet.process("agent-engine-2").kill();
        waitForAnswers(700);
        fleet.restart("agent-engine-2");
        fleet.control("engine-3", {{"crash", true}});
        waitForAnswers(900);
        fleet.control("engine-4", {{"slow_factor", 1}});
        fleet.setFaults("entry-2>", {{"freeze", true}});
        waitForAnswers(1000);
        fleet.setFaults("entry-2>", delays);
        fleet.process("entry-3").kill();
        waitForAnswers(1200);
        fleet.restart("entry-3");
        fleet.control("engine-1", {{"slow_factor", 30}});
        waitForAnswers(1500);
        fleet.process("agent-engine-3").kill();
        fleet.restart("agent-engine-3");
        fleet.control("engine-1", {{"slow_factor", 1}});
    }

    double sum(const std::string &metric) const
    {
        double total = 0;
        for (int i = 1; i <= entryCount; ++i)
            total += fleet.metric("entry-" + std::to_string(i), metric);
        return total;
    }

    Fleet fleet{fastFleet(entryCount, 4, "4")};
    const json delays{{"delay_ms", 2}, {"jitter_ms", 20}, {"reorder", 0.3}, {"duplicate", 0.1}};
    std::atomic<int> next{0};
    std::mutex mutex;
    std::map<AnswerClass, int> counts;
    std::map<std::string, int> incompleteReasons;
};

} // namespace

// Guards against answers that are wrong, swapped, truncated or duplicated after retries, hedges,
// resumes and late messages.
TEST_CASE_METHOD(ManyAnswersFixture, "complete answers, 2,000 requests under faults, none is wrong")
{
    REQUIRE(fleet.setFault("*", delays));
    std::vector<std::thread> callers;
    callers.reserve(callerCount);
    for (int i = 0; i < callerCount; ++i)
        callers.emplace_back([this] { runCaller(); });
    injectFaults();
    for (std::thread &caller : callers)
        caller.join();
    for (const auto &[kind, count] : incompleteReasons)
        WARN("incomplete attempts: " << kind << ", " << count);
    CHECK(counts[AnswerClass::Wrong] == 0);
    CHECK(counts[AnswerClass::Complete] == requestCount);
    CHECK(sum("lovagecourse_hedges_total{reason=\"late-first-byte\"}") > 0);
    CHECK(sum("lovagecourse_retries_total{reason=\"agent-lost\"}") > 0);
}

// Guards against events of a losing hedge that are mixed into the winner's stream. Each agent
// numbers its grants by itself, so two attempts of a request may have the same grant number.
TEST_CASE_METHOD(HedgeFixture, "hedged streams, both servers answer, complete answer from one")
{
    constexpr int warmUps = 80;
    constexpr int tokens = 100;
    // The entry needs enough first-byte samples to compute the percentile that triggers a hedge.
    for (int i = 0; i < warmUps; ++i)
        fleet.chat(1, "a", "warm-up", 1, true);
    REQUIRE(fleet.control("engine-1", {{"slow_factor", 10}}));
    std::vector<std::thread> callers;
    std::atomic<int> complete{0};
    callers.reserve(4);
    for (int caller = 0; caller < 4; ++caller)
        callers.emplace_back([this, caller, &complete] {
            for (int i = 0; i < 10; ++i) {
                const std::string prompt = std::to_string(caller) + " asks " + std::to_string(i);
                const HttpOutcome outcome = fleet.chat(1, "a", prompt, tokens, true);
                complete += classifyOutcome(outcome, prompt, tokens, true) == AnswerClass::Complete
                                    ? 1
                                    : 0;
            }
        });
    for (std::thread &caller : callers)
        caller.join();
    CHECK(complete == 40);
    CHECK(fleet.metric("entry-1", "lovagecourse_hedges_total{reason=\"late-first-byte\"}") > 5);
}

// Guards against a stream that ends, repeats a token or skips one when its agent crashes.
TEST_CASE_METHOD(ResumeFixture, "long stream, its agent is killed, resumes at another server")
{
    const auto stream = startStream("long", 400);
    REQUIRE(waitUntil(seconds(10), [&] { return stream->received() > 5000; }));
    fleet.process("agent-" + engineOf("long", 2)).kill();
    CHECK(classifyOutcome(stream->outcome(), "long", 400, true) == AnswerClass::Complete);
    CHECK(fleet.journal("engine-1")["requests"]["long"] == 1);
    CHECK(fleet.journal("engine-2")["requests"]["long"] == 1);
}

// Guards against a stream that ends, repeats a token or skips one when its server crashes.
TEST_CASE_METHOD(ResumeFixture, "long stream, its server crashes, resumes at another server")
{
    const auto stream = startStream("long", 400);
    REQUIRE(waitUntil(seconds(10), [&] { return stream->received() > 5000; }));
    REQUIRE(fleet.control(engineOf("long", 2), {{"crash", true}}));
    CHECK(classifyOutcome(stream->outcome(), "long", 400, true) == AnswerClass::Complete);
}

// Guards against a stream that ends as complete because the server that should resume it answers
// with an error.
TEST_CASE_METHOD(ResumeFixture, "long stream, the resume is an error, fails at the caller")
{
    const std::string prompt = "fail-to-resume";
    const auto stream = startStream(prompt, 400);
    REQUIRE(waitUntil(seconds(10), [&] { return stream->received() > 5000; }));
    REQUIRE(fleet.control(engineOf(prompt, 2), {{"crash", true}}));
    CHECK(classifyOutcome(stream->outcome(), prompt, 400, true) == AnswerClass::Failed);
    CHECK(stream->outcome().status == 200);
}

// Guards against a truncated stream that looks complete to its caller.
TEST_CASE_METHOD(LastServerFixture, "long stream, no server is left, fails at the caller")
{
    const auto stream = startStream("long", 400, seconds(3));
    REQUIRE(waitUntil(seconds(10), [&] { return stream->received() > 5000; }));
    fleet.process("agent-engine-1").kill();
    CHECK(classifyOutcome(stream->outcome(), "long", 400, true) == AnswerClass::Failed);
    CHECK(stream->outcome().status == 200);
}

// Guards against an entry that buffers the answer of a slow caller without a limit.
TEST_CASE_METHOD(SlowCallerFixture,
                 "slow caller, long stream, slows the server and receives all of it")
{
    constexpr int tokens = 40'000;
    const auto received = [this] {
        return fleet.metric("entry-1", "lovagecourse_link_received_bytes_total");
    };
    const auto stream = startStream("long", tokens);
    stream->setReading(false);
    double before = -1;
    const bool stopped = waitUntil(seconds(20), [&] {
        std::this_thread::sleep_for(milliseconds(500));
        const double now = received();
        const bool same = now - before < 10'000;
        before = now;
        return same;
    });
    CHECK(stopped);
    // 256 KB of link credit, 128 KB unsent at the entry's socket, the caller's socket buffers and
    // heartbeats. The complete answer has more than 4 MB.
    CHECK(received() < 1.5e6);
    stream->setReading(true);
    CHECK(classifyOutcome(stream->outcome(), "long", tokens, true) == AnswerClass::Complete);
    CHECK(stream->outcome().body.size() > 4'000'000);
}
