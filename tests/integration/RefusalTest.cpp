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

// Reasons that these tests can't provoke: "answer-broken" needs an agent that sends other events
// than the entry asked for; "server-failed" is not given at present; "agent-queue-full" and
// "agent-leaving" are told to entries, which offer elsewhere; "caller-left" has no caller to tell.

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
    /// A booking with headers of the test's choice.
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
    bool slowDesk(double factor) const
    {
        return fleet.control("desk-1", {{"slow_factor", factor}});
    }
    std::string claims() const
    {
        const std::string records = "/streams/claims/records?from=0&wait_ms=0&max=10000";
        return getJson(fleet.platformUrl() + records).dump();
    }

    void checkRunsOnce()
    {
        for (const auto &[key, outcomes] : calls) {
            const int count = runs(key);
            CAPTURE(key, count, outcomes.back().body);
            const bool refused = std::all_of(outcomes.begin(), outcomes.end(),
                                             [](const auto &item) { return item.ran() == "no"; });
            CHECK(count <= (refused ? 0 : 1));
        }
    }
    /// No request that was refused as not run is in the journal, now or 2 s later.
    void checkTruth()
    {
        checkRunsOnce();
        std::this_thread::sleep_for(seconds(2));
        checkRunsOnce();
    }
};

/// Servers that take several requests at once.
struct RoomyFixture : RefusalFixture
{
    RoomyFixture()
        : RefusalFixture(8)
    {}
};

void checkRefusal(const HttpOutcome &outcome, const std::string &reason, const std::string &ran)
{
    CAPTURE(reason, outcome.status, outcome.body);
    CHECK(outcome.isWhole());
    CHECK(outcome.refusal() == reason);
    CHECK(outcome.ran() == ran);
}

} // namespace

// Guards against runs of requests that the entry refuses because of their form.
TEST_CASE_METHOD(RefusalFixture, "refusals, requests of a wrong form, did not run")
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
    checkTruth();
    CHECK(fleet.journal("desk-1")["runs"].empty());
    CHECK(fleet.journal("engine-1")["started"] == 0);
}

// Guards against runs of requests that waited too long or found their queue full.
TEST_CASE_METHOD(RefusalFixture, "refusals, desk overloaded, tell the truth")
{
    // A booking takes 1.5 s, so that none of the waiting ones gets its turn by its deadline.
    REQUIRE(slowDesk(75));
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
    // Now the desk takes longer than the entry waits for the outcome of a claimed request.
    REQUIRE(slowDesk(300));
    checkRefusal(book(makeUuid7(), milliseconds(300)), "deadline-expired", "unknown");
    checkTruth();
}

// Guards against false answers about a key that another call uses or used.
TEST_CASE_METHOD(RoomyFixture, "refusals, key in use, tell the truth")
{
    const std::string used = makeUuid7();
    CHECK(book(used).status == 201);
    checkRefusal(book(used, longDeadline, "{\"other\":1}"), "idempotency-key-conflict", "no");

    REQUIRE(slowDesk(60));
    const std::string busy = makeUuid7();
    auto first = startBooking(busy, longDeadline);
    REQUIRE(waitForRun(busy));
    checkRefusal(book(busy, milliseconds(300), "{}", 2), "idempotency-key-in-progress", "unknown");
    CHECK(first.get().status == 201);

    REQUIRE(slowDesk(1));
    REQUIRE(fleet.control("desk-1", {{"lose_answers", 1}}));
    const std::string lost = makeUuid7();
    checkRefusal(book(lost), "server-lost", "unknown");
    checkRefusal(book(lost), "idempotency-key-unsettled", "unknown");
    checkTruth();
    CHECK(runs(used) == 1);
}

// Guards against false answers about requests that were running at a server or agent that died.
TEST_CASE_METHOD(RefusalFixture, "refusals, server or agent dies, tell the truth")
{
    const std::string lost = makeUuid7();
    REQUIRE(slowDesk(100));
    auto booking = startBooking(lost, longDeadline);
    REQUIRE(waitForRun(lost));
    fleet.process("agent-desk-1").kill();
    checkRefusal(booking.get(), "agent-lost", "unknown");
    fleet.restart("agent-desk-1");
    REQUIRE(fleet.waitUsable(seconds(15)));

    REQUIRE(slowDesk(1));
    HttpOutcome last;
    // The third call at the latest is refused: two crashes decide.
    for (int i = 0; i < 3 && last.refusal() != "crash-suspect"; ++i) {
        last = book(makeUuid7(), longDeadline, "crash-the-server");
        CHECK((last.refusal() == "server-lost" || last.refusal() == "crash-suspect"));
        REQUIRE(fleet.waitUsable(seconds(15)));
    }
    checkRefusal(book(makeUuid7(), longDeadline, "crash-the-server"), "crash-suspect", "no");
    checkTruth();
}

// Guards against a run of a claim that turns up in the log after its call was refused, and against
// a key that stays refused although it did not run.
TEST_CASE_METHOD(RefusalFixture, "refusals, claim in the log after its refusal, never runs")
{
    const std::string key = makeUuid7();
    const double appends = fleet.metric("agent-desk-1", "lovagecourse_claim_appends_total");
    REQUIRE(fleet.control("platform", {{"mode", "slow"}, {"delay_ms", 600}}));
    auto booking = startBooking(key, milliseconds(1500));
    REQUIRE(waitUntil(seconds(5), [&] {
        return fleet.metric("agent-desk-1", "lovagecourse_claim_appends_total") > appends;
    }));
    // The append takes effect at the end of the delay; its record can't be read any more.
    std::this_thread::sleep_for(milliseconds(50));
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    checkRefusal(booking.get(), "claim-unavailable", "no");
    CHECK(runs(key) == 0);
    REQUIRE(fleet.control("platform", {{"mode", "up"}}));
    CHECK(waitUntil(seconds(10), [&] { return claims().find("void") != std::string::npos; }));
    CHECK(claims().find(key) != std::string::npos);
    checkTruth();
    CHECK(book(key).status == 201);
    CHECK(runs(key) == 1);
}

// Guards against runs of requests at entries that have no configuration yet or are ending.
TEST_CASE_METHOD(RefusalFixture, "refusals, entry not ready or draining, did not run")
{
    REQUIRE(fleet.control("platform", {{"mode", "down"}}));
    REQUIRE(fleet.setFaults("entry-2>", {{"cut", true}}));
    fleet.restart("entry-2");
    HttpOutcome notReady;
    CHECK(waitUntil(seconds(10), [&] {
        notReady = fleet.book(2, "a", makeUuid7(), seconds(1));
        return notReady.isWhole();
    }));
    checkRefusal(notReady, "not-ready", "no");
    REQUIRE(fleet.control("platform", {{"mode", "up"}}));

    // A connection that stays open, and a stream that keeps the entry from ending.
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
    // Within the first 2 s the entry still serves, for balancers that do not know yet.
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
    CHECK(streamed.isWhole());
    CHECK(streamed.body.ends_with("data: [DONE]\n\n"));
    CHECK(fleet.process("entry-1").waitForExit(seconds(10)).value_or(-1) == 0);
    checkTruth();
    CHECK(fleet.journal("desk-1")["runs"].empty());
}
