#include "integration/Fleet.h"

#include <catch2/catch.hpp>
#include <curl/curl.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <mutex>
#include <set>
#include <thread>

using namespace lovagecourse::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Reasons that are not covered here: "answer-broken" needs an agent that sends other events than
// the entry requested; "server-failed" is not used at present; agents send "agent-queue-full" and
// "agent-leaving" only to entries, which then offer the request to another agent; "caller-left" is
// sent to nobody, since the caller has closed its connection.

namespace {

constexpr seconds longDeadline{10};
constexpr std::size_t maxBodyBytes = 4096;

FleetOptions smallFleet(int maxLimit)
{
    FleetOptions options;
    options.engines = 1;
    options.proxied = true;
    options.maxLimit = maxLimit;
    options.bookingFields = "queue_limit = 3\n";
    options.settings = "[limits]\nmax_body_bytes = " + std::to_string(maxBodyBytes);
    return options;
}

struct RefusalFixture
{
    explicit RefusalFixture(int maxLimit = 1)
        : fleet(smallFleet(maxLimit))
    {}

    Fleet fleet;
    std::mutex mutex;
    std::map<std::string, std::vector<HttpOutcome>> calls;

    HttpOutcome record(const std::string &key, HttpOutcome outcome)
    {
        const std::lock_guard lock(mutex);
        calls[key].push_back(outcome);
        return outcome;
    }
    HttpOutcome book(const std::string &key, milliseconds deadline = longDeadline,
                     const std::string &body = "{}", int entry = 1)
    {
        return record(key, fleet.book(entry, "a", key, deadline, body));
    }
    std::future<HttpOutcome> startBooking(const std::string &key, milliseconds deadline,
                                          const std::string &body = "{}")
    {
        return std::async(std::launch::async,
                          [this, key, deadline, body] { return book(key, deadline, body); });
    }
    /// POST with the given path, account and deadline header.
    HttpOutcome post(const std::string &path, const std::string &key, const std::string &account,
                     const std::string &deadline, const std::string &body = "{}")
    {
        return record(key, call("POST", fleet.entryUrl(1) + path,
                                {{"Authorization", "Bearer " + account + "-key"},
                                 {"Idempotency-Key", key},
                                 {"X-Deadline-Ms", deadline}},
                                body));
    }
    int runs(const std::string &key) const { return fleet.journal("desk-1")["runs"].value(key, 0); }
    bool waitForRun(const std::string &key) const
    {
        return waitUntil(seconds(5), [&] { return runs(key) > 0; });
    }
    bool setDeskSlowdown(double factor) const
    {
        return fleet.control("desk-1", {{"slow_factor", factor}});
    }
    std::string claims() const
    {
        const std::string records = "/streams/claims/records?from=0&wait_ms=0&max=10000";
        return getJson(fleet.platformUrl() + records).dump();
    }

    void checkRunCounts()
    {
        for (const auto &[key, outcomes] : calls) {
            const int count = runs(key);
            CAPTURE(key, count, outcomes.back().body);
            const bool refused = std::all_of(outcomes.begin(), outcomes.end(),
                                             [](const auto &item) { return item.ran() == "no"; });
            CHECK(count <= (refused ? 0 : 1));
        }
    }
    /// Checks, now and 2 s later, that no key ran more than once and that no key ran whose calls
    /// were all refused as not run.
    void checkReportedRuns()
    {
        checkRunCounts();
        std::this_thread::sleep_for(seconds(2));
        checkRunCounts();
    }
};

/// Servers that run up to 8 requests concurrently.
struct ParallelServerFixture : RefusalFixture
{
    ParallelServerFixture()
        : RefusalFixture(8)
    {}
};

void checkRefusal(const HttpOutcome &outcome, const std::string &reason, const std::string &ran)
{
    CAPTURE(reason, outcome.status, outcome.body);
    CHECK(outcome.isComplete());
    CHECK(outcome.refusal() == reason);
    CHECK(outcome.ran() == ran);
}

} // namespace

// Guards against the execution of requests that the entry refuses as invalid.
TEST_CASE_METHOD(RefusalFixture, "refusals, invalid requests, did not run")
{
    checkRefusal(post("/bookings", makeUuid7(), "nobody", "1000"), "unknown-key", "no");
    checkRefusal(post("/nowhere", makeUuid7(), "a", "1000"), "unknown-service", "no");
    checkRefusal(post("/bookings", makeUuid7(), "a", "soon"), "malformed-request", "no");
    const std::string longBody(maxBodyBytes + 1, 'x');
    checkRefusal(post("/bookings", makeUuid7(), "a", "1000", longBody), "body-too-large", "no");
    checkRefusal(book(""), "idempotency-key-missing", "no");
    checkRefusal(book("not-a-uuid"), "idempotency-key-malformed", "no");
    checkRefusal(book(makeUuid7(std::chrono::hours(48))), "idempotency-key-too-old", "unknown");
    const HttpOutcome orphan = call("POST", fleet.entryUrl(1) + "/v1/chat/completions",
                                    {{"Authorization", "Bearer a-key"}},
                                    R"({"model":"other","messages":[],"max_tokens":1})");
    checkRefusal(orphan, "no-server", "no");
    checkReportedRuns();
    CHECK(fleet.journal("desk-1")["runs"].empty());
    CHECK(fleet.journal("engine-1")["started"] == 0);
}

// Guards against the execution of requests whose deadline expired in the queue or whose queue was
// full.
TEST_CASE_METHOD(RefusalFixture, "refusals, desk overloaded, report whether it ran")
{
    // A booking takes 1.5 s, so no queued booking starts before its deadline of 700 ms.
    REQUIRE(setDeskSlowdown(75));
    std::vector<std::future<HttpOutcome>> started;
    started.reserve(10);
    for (int i = 0; i < 10; ++i)
        started.push_back(startBooking(makeUuid7(), milliseconds(700)));
    std::set<std::string> seen;
    for (auto &booking : started) {
        const HttpOutcome outcome = booking.get();
        CHECK((outcome.status == 201 || outcome.ran() == "no"));
        seen.insert(outcome.refusal() + '/' + outcome.ran());
    }
    CHECK(seen.contains("account-queue-full/no"));
    CHECK(seen.contains("deadline-expired/no"));
    // The desk now takes longer than the entry waits for the outcome of a claimed request.
    REQUIRE(setDeskSlowdown(300));
    checkRefusal(book(makeUuid7(), milliseconds(300)), "deadline-expired", "unknown");
    checkReportedRuns();
}

// Guards against wrong refusals for a key that another call uses or has used.
TEST_CASE_METHOD(ParallelServerFixture, "refusals, key in use, report whether it ran")
{
    const std::string used = makeUuid7();
    CHECK(book(used).status == 201);
    checkRefusal(book(used, longDeadline, "{\"other\":1}"), "idempotency-key-conflict", "no");

    REQUIRE(setDeskSlowdown(60));
    const std::string busy = makeUuid7();
    auto first = startBooking(busy, longDeadline);
    REQUIRE(waitForRun(busy));
    checkRefusal(book(busy, milliseconds(300), "{}", 2), "idempotency-key-in-progress", "unknown");
    CHECK(first.get().status == 201);

    REQUIRE(setDeskSlowdown(1));
    REQUIRE(fleet.control("desk-1", {{"lose_answers", 1}}));
    const std::string lost = makeUuid7();
    checkRefusal(book(lost), "server-lost", "unknown");
    checkRefusal(book(lost), "idempotency-key-unsettled", "unknown");
    checkReportedRuns();
    CHECK(runs(used) == 1);
}

// Guards against wrong refusals for requests that were running when their server or agent crashed.
TEST_CASE_METHOD(RefusalFixture, "refusals, server or agent crashes, report whether it ran")
{
    const std::string lost = makeUuid7();
    REQUIRE(setDeskSlowdown(100));
    auto booking = startBooking(lost, longDeadline);
    REQUIRE(waitForRun(lost));
    fleet.process("agent-desk-1").kill();
    checkRefusal(booking.get(), "agent-lost", "unknown");
    fleet.restart("agent-desk-1");
    REQUIRE(fleet.waitUntilUsable(seconds(15)));

    REQUIRE(setDeskSlowdown(1));
    HttpOutcome last;
    // A request is refused as a crash suspect after two crashes, so at the latest at the third
    // call.
    for (int i = 0; i < 3 && last.refusal() != "crash-suspect"; ++i) {
        last = book(makeUuid7(), longDeadline, "crash-the-server");
        CHECK((last.refusal() == "server-lost" || last.refusal() == "crash-suspect"));
        REQUIRE(fleet.waitUntilUsable(seconds(15)));
    }
    checkRefusal(book(makeUuid7(), longDeadline, "crash-the-server"), "crash-suspect", "no");
    checkReportedRuns();
}

// Guards against the execution of a claim that appears in the log after its call was refused, and
// against a key that stays refused although it did not run.
TEST_CASE_METHOD(RefusalFixture, "refusals, claim in the log after its refusal, never runs")
{
    const std::string key = makeUuid7();
    const double appends = fleet.metric("agent-desk-1", "lovagecourse_claim_appends_total");
    REQUIRE(fleet.control("platform", {{"mode", "slow"}, {"delay_ms", 600}}));
    auto booking = startBooking(key, milliseconds(1500));
    REQUIRE(waitUntil(seconds(5), [&] {
        return fleet.metric("agent-desk-1", "lovagecourse_claim_appends_total") > appends;
    }));
    // The platform stores the record at the end of its delay, when it is already down for readers.
    std::this_thread::sleep_for(milliseconds(50));
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    checkRefusal(booking.get(), "claim-unavailable", "no");
    CHECK(runs(key) == 0);
    REQUIRE(fleet.control("platform", {{"mode", "up"}}));
    CHECK(waitUntil(seconds(10), [&] { return claims().find("void") != std::string::npos; }));
    CHECK(claims().find(key) != std::string::npos);
    checkReportedRuns();
    CHECK(book(key).status == 201);
    CHECK(runs(key) == 1);
}

// Guards against the execution of requests at entries that have no configuration yet or are
// draining.
TEST_CASE_METHOD(RefusalFixture, "refusals, entry not ready or draining, did not run")
{
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    REQUIRE(fleet.setFaults("entry-2>", {{"cut", true}}));
    fleet.restart("entry-2");
    HttpOutcome notReady;
    CHECK(waitUntil(seconds(10), [&] {
        notReady = fleet.book(2, "a", makeUuid7(), seconds(1));
        return notReady.isComplete();
    }));
    checkRefusal(notReady, "not-ready", "no");
    REQUIRE(fleet.control("platform", {{"mode", "up"}}));

    // A keep-alive connection, and a stream that delays the exit of the entry.
    CURL *connection = curl_easy_init();
    const std::string health = fleet.entryUrl(1) + "/healthz";
    curl_easy_setopt(connection, CURLOPT_URL, health.c_str());
    curl_easy_setopt(connection, CURLOPT_NOPROXY, "*");
    std::string body;
    curl_easy_setopt(connection, CURLOPT_WRITEDATA, &body);
    curl_easy_setopt(
            connection, CURLOPT_WRITEFUNCTION,
            +[](char *data, std::size_t size, std::size_t count, void *user) {
                static_cast<std::string *>(user)->append(data, size * count);
                return size * count;
            });
    REQUIRE(curl_easy_perform(connection) == CURLE_OK);
    auto stream = std::async(std::launch::async,
                             [this] { return fleet.chat(1, "a", "hello", 250, true); });
    REQUIRE(waitUntil(seconds(5), [this] { return fleet.journal("engine-1")["started"] == 1; }));
    fleet.process("entry-1").signal(SIGTERM);
    // For the first 2 s the entry still accepts requests, until balancers have read /readyz.
    const std::string key = makeUuid7();
    const std::string url = fleet.entryUrl(1) + "/bookings";
    curl_slist *headers = curl_slist_append(nullptr, "Authorization: Bearer a-key");
    headers = curl_slist_append(headers, ("Idempotency-Key: " + key).c_str());
    curl_easy_setopt(connection, CURLOPT_URL, url.c_str());
    curl_easy_setopt(connection, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(connection, CURLOPT_POSTFIELDS, "{}");
    std::this_thread::sleep_for(milliseconds(2500));
    body.clear();
    HttpOutcome draining;
    draining.curlCode = curl_easy_perform(connection);
    draining.body = body;
    curl_slist_free_all(headers);
    curl_easy_cleanup(connection);
    checkRefusal(record(key, draining), "draining", "no");
    const HttpOutcome streamed = stream.get();
    CHECK(streamed.isComplete());
    CHECK(streamed.body.ends_with("data: [DONE]\n\n"));
    CHECK(fleet.process("entry-1").waitForExit(seconds(10)).value_or(-1) == 0);
    checkReportedRuns();
    CHECK(fleet.journal("desk-1")["runs"].empty());
}
