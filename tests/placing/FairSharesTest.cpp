#include "placing/FairShares.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct FairSharesFixture
{
    FairShares shares;
    TimePoint now{std::chrono::hours(1)};
};

} // namespace

// Guards against a share that a small account's unused part does not enlarge.
TEST_CASE("max-min share, one small and two large accounts, large ones split the rest")
{
    CHECK(maxMinShare({10, 500, 800}, 410) == Approx(200));
}

// Guards against a division by the accounts when there are none.
TEST_CASE("max-min share, no account, is zero")
{
    CHECK(maxMinShare({}, 0) == 0);
}

// Guards against a flooding account that looks like the others.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, one account served most, stands above one")
{
    for (AccountHash account = 1; account <= 3; ++account)
        shares.onAsked(account, 1000, now);
    shares.onServed(1, 900, now);
    shares.onServed(2, 150, now);
    shares.onServed(3, 150, now);
    CHECK(shares.standing(1, now) > 2);
    CHECK(shares.standing(2, now) < 1);
}

// Guards against fairness in each router alone: an account may reach all of them.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, peer served the account, counts it")
{
    shares.onAsked(1, 100, now);
    shares.onAsked(2, 100, now);
    shares.onServed(1, 50, now);
    shares.onServed(2, 50, now);
    shares.setPeer("other", {{1, {800, 800}}}, now);
    CHECK(shares.standing(1, now) > shares.standing(2, now) * 2);
}

// Guards against saved-up credit and old debts: only the window counts.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, window over, forgets")
{
    shares.onAsked(1, 1000, now);
    shares.onServed(1, 1000, now);
    now += FairShares::window + seconds(1);
    CHECK(shares.standing(1, now) == 0);
}

// Guards against the load of a dead router that counts for ever.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, peer silent, its report lapses")
{
    shares.setPeer("other", {{1, {800, 800}}}, now);
    now += seconds(3);
    CHECK(shares.standing(1, now) == 0);
}
