#include "integration/Fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace lovagecourse::test;

namespace {

struct RequestPathFixture
{
    Fleet fleet{FleetOptions{}};
};

std::size_t countEvents(const std::string &stream)
{
    std::size_t count = 0;
    for (std::size_t at = stream.find("data: "); at != std::string::npos;
         at = stream.find("data: ", at + 1))
        ++count;
    return count;
}

} // namespace

// Guards against a failure anywhere on the path from a caller to a server and back.
TEST_CASE_METHOD(RequestPathFixture,
                 "request path, two entries and three servers, complete answers", "[path]")
{
    const HttpOutcome stream = fleet.chat(1, "a", "hello", 5, true);
    CHECK(stream.isComplete());
    CHECK(stream.status == 200);
    CHECK(countEvents(stream.body) >= 6);
    CHECK(stream.body.ends_with("data: [DONE]\n\n"));

    const HttpOutcome nonStreaming = fleet.chat(2, "b", "hello", 5, false);
    CHECK(nonStreaming.isComplete());
    CHECK(nonStreaming.status == 200);

    const std::string key = makeUuid7();
    const HttpOutcome booking = fleet.book(1, "a", key, std::chrono::seconds(10));
    CHECK(booking.status == 201);
    const HttpOutcome repeated = fleet.book(2, "a", key, std::chrono::seconds(10));
    CHECK(repeated.status == 201);
    CHECK(repeated.body == booking.body);
    CHECK(fleet.journal("desk-1")["runs"][key] == 1);
}

// Guards against non-streaming model answers that are charged by time, which is 20 times their
// tokens, and against the [DONE] event being charged as a token.
TEST_CASE_METHOD(RequestPathFixture, "request path, chat answer, is charged by its tokens")
{
    constexpr int tokens = 20;
    const bool streamed = GENERATE(false, true);
    REQUIRE(fleet.chat(1, "a", "how many tokens?", tokens, streamed).status == 200);
    const auto position = [this](const std::string &agent) {
        const nlohmann::json page = fleet.status(agent);
        for (const auto &row : page["accounts"]) {
            if (row["name"] == "a")
                return row["position"].get<double>();
        }
        return 0.;
    };
    const auto highest = [&position] {
        return std::max(position("agent-engine-1"), position("agent-engine-2"));
    };
    REQUIRE(waitUntil(std::chrono::seconds(5), [&] { return highest() > 0; }));
    CHECK(highest() == Approx(tokens));
}

// Guards against the execution of requests with an unknown API key or of malformed requests.
TEST_CASE_METHOD(RequestPathFixture, "request path, bad requests, are refused as not run")
{
    const std::string chat = fleet.entryUrl(1) + "/v1/chat/completions";
    const HttpOutcome unknown =
            call("POST", chat, {{"Authorization", "Bearer nobody"}}, "{\"model\":\"m\"}");
    CHECK(unknown.status == 401);
    CHECK(unknown.ran() == "no");
    CHECK(unknown.refusal() == "unknown-key");

    const HttpOutcome malformed = call("POST", chat, {{"Authorization", "Bearer a-key"}}, "{oops");
    CHECK(malformed.status == 400);
    CHECK(malformed.refusal() == "malformed-request");

    const HttpOutcome path =
            call("GET", fleet.entryUrl(1) + "/nowhere", {{"Authorization", "Bearer a-key"}}, "");
    CHECK(path.status == 404);

    const HttpOutcome keyless = call("POST", fleet.entryUrl(1) + "/bookings",
                                     {{"Authorization", "Bearer a-key"}}, "{}");
    CHECK(keyless.refusal() == "idempotency-key-missing");
    const HttpOutcome badKey = fleet.book(1, "a", "not-a-uuid", std::chrono::seconds(5));
    CHECK(badKey.refusal() == "idempotency-key-malformed");
    const HttpOutcome oldKey =
            fleet.book(1, "a", makeUuid7(std::chrono::hours(48)), std::chrono::seconds(5));
    CHECK(oldKey.refusal() == "idempotency-key-too-old");
    CHECK(fleet.journal("desk-1")["runs"].empty());
}
