#include "checking/AccountMargins.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lovagecourse;

namespace {

const std::string refusedLine =
        "  4.1456 host-4 2026-06-02T14:20:42.131Z info host-4 [routing] event=refused "
        "request=1b1a2cefd3d17aeb status=503 reason=overload sends=0 route=r1 account=ficu434 "
        "configuration=2 tokens=9190 exceeded=wait standing=1.4 objective_ms=800 "
        "first_byte_ms=0 took_ms=131";

struct AccountMarginsFixture
{
    std::vector<AccountRequest> requests;

    void add(const std::string &account, int second, double tokens, bool isSent)
    {
        requests.push_back(AccountRequest{AccountId(account), WallTime(seconds(second)), tokens,
                                          isSent, !isSent});
    }
    /// Each second, requests of 100 tokens of which the given number is sent.
    void addSeconds(const std::string &account, int count, int requested, int sent)
    {
        for (int second = 0; second < count; ++second) {
            for (int i = 0; i < requested; ++i)
                add(account, second, 100, i < sent);
        }
    }
};

} // namespace

// Guards against margins that are computed from other lines than the ends of requests, or from the
// time of the end.
TEST_CASE("request line, end of a request, gives its arrival, cost and outcome")
{
    const auto refused = parseRequestLine(refusedLine);
    REQUIRE(refused);
    CHECK(refused->account == AccountId("ficu434"));
    CHECK(refused->tokens == 9190);
    CHECK_FALSE(refused->isSent);
    CHECK(refused->isDisappointed);
    const auto day = std::chrono::sys_days(std::chrono::year(2026) / 6 / 2);
    CHECK(refused->arrived
          == day + std::chrono::hours(14) + std::chrono::minutes(20) + seconds(42));
}

TEST_CASE("request line, cut off or of another event, is skipped")
{
    for (std::size_t length = 0; length <= refusedLine.rfind('=') + 1; ++length)
        CHECK_FALSE(parseRequestLine(refusedLine.substr(0, length)).has_value());
    std::string other = refusedLine;
    other.replace(other.find("event=refused"), 13, "event=sent");
    CHECK_FALSE(parseRequestLine(other).has_value());
    other = refusedLine;
    other.replace(other.find("tokens=9190"), 11, "tokens=many");
    CHECK_FALSE(parseRequestLine(other).has_value());
}

// Guards against a verdict that depends on what only one of the two accounts got.
TEST_CASE_METHOD(AccountMarginsFixture,
                 "margins, account with less than half of the best served, is below 1")
{
    addSeconds("small", 6, 20, 4);
    addSeconds("large", 6, 100, 12);
    const auto margins = lowestMargins(requests);
    REQUIRE(margins.size() == 2);
    CHECK(margins[0].account == AccountId("small"));
    CHECK(margins[0].requestedTokens == 12000);
    CHECK(margins[0].obtainedTokens == 2400);
    CHECK(margins[0].dueTokens == 3300);
    CHECK(margins[0].refused == 96);
    CHECK(margins[0].ratio() < 1);
    CHECK(margins[1].ratio() > 2);
}

TEST_CASE_METHOD(AccountMarginsFixture,
                 "margins, account with a second without disappointment, is left out")
{
    addSeconds("small", 6, 20, 4);
    std::erase_if(requests, [](const AccountRequest &request) {
        return request.arrived == WallTime(seconds(3)) && !request.isSent;
    });
    CHECK(lowestMargins(requests).empty());
    addSeconds("short", 5, 20, 4);
    CHECK(lowestMargins(requests).empty());
}
