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

// Guards against a fair share that leaves out the part that a small account does not use.
TEST_CASE("max-min share, one small and two large accounts, large ones split the rest")
{
    CHECK(maxMinShare({10, 500, 800}, 410) == Approx(200));
}

// Guards against a division by zero without accounts.
TEST_CASE("max-min share, no account, is zero")
{
    CHECK(maxMinShare({}, 0) == 0);
}

// Guards against an account above its share that is treated like the others.
TEST_CASE_METHOD(FairSharesFixture,
                 "fair shares, most tokens admitted for one account, ratio above one")
{
    for (AccountHash account = 1; account <= 3; ++account)
        shares.onRequested(account, 1000, now);
    shares.onAdmitted(1, 900, now);
    shares.onAdmitted(2, 150, now);
    shares.onAdmitted(3, 150, now);
    CHECK(shares.fairShareRatio(1, now) > 2);
    CHECK(shares.fairShareRatio(2, now) < 1);
}

// Guards against shares counted per router: an account can send to all routers.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, peer admitted tokens, counts them")
{
    shares.onRequested(1, 100, now);
    shares.onRequested(2, 100, now);
    shares.onAdmitted(1, 50, now);
    shares.onAdmitted(2, 50, now);
    shares.setPeerTotals("other", {{1, {800, 800}}}, now);
    CHECK(shares.fairShareRatio(1, now) > shares.fairShareRatio(2, now) * 2);
}

// Guards against tokens that count long after they were admitted.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, window over, little is left and then nothing")
{
    shares.onRequested(1, 1000, now);
    shares.onAdmitted(1, 1000, now);
    CHECK(shares.fairShareRatio(1, now) == Approx(1));
    now += FairShares::window + seconds(1);
    shares.onRequested(2, 1000, now);
    shares.onAdmitted(2, 1000, now);
    CHECK(shares.fairShareRatio(1, now) < 0.05);
    now += 10 * FairShares::window;
    CHECK(shares.fairShareRatio(1, now) == 0);
    CHECK(shares.localTotals(now).empty());
}

// Guards against totals of another scale than a sum over the window: routers of an earlier version
// report those.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, steady load, totals are those of a window")
{
    constexpr milliseconds step{10};
    for (const TimePoint end = now + 5 * FairShares::window; now < end; now += step)
        shares.onRequested(1, 100, now);
    const auto totals = shares.localTotals(now);
    REQUIRE(totals.size() == 1);
    CHECK(totals.front().second.requested
          == Approx(100. * (FairShares::window / step)).epsilon(0.02));
}

// Guards against accounts that are served by turns: an account whose tokens of one moment cease to
// count all at once is admitted without limit in the next one.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, tokens of one moment, ratio falls gradually")
{
    constexpr milliseconds step{250};
    shares.onRequested(1, 8e6, now);
    shares.onAdmitted(1, 8e6, now);
    double before = 0;
    for (const TimePoint end = now + seconds(8); now < end; now += step) {
        shares.onRequested(2, 1e6, now);
        shares.onAdmitted(2, 0.5e6, now);
        const double ratio = shares.fairShareRatio(1, now);
        CAPTURE(toMs(end - now), before);
        CHECK(ratio > 0.7 * before);
        before = ratio;
    }
}

// Guards against the tokens of a stopped router that count forever.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, peer without reports, its totals expire")
{
    shares.setPeerTotals("other", {{1, {800, 800}}}, now);
    now += seconds(3);
    CHECK(shares.fairShareRatio(1, now) == 0);
}

// Guards against a deprived account that goes unnoticed, and against shorter queues for all after a
// single refused request or while every account gets what it requests.
TEST_CASE_METHOD(FairSharesFixture, "fair shares, account gets little of its share, is deprived")
{
    CHECK(shares.deprivation(now) == 0);
    now += milliseconds(60);
    shares.setPeerTotals("other", {{1, {9e6, 3e6}}, {2, {1e6, 0.2e6}}, {3, {17020, 0}}}, now);
    CHECK(shares.deprivation(now) == Approx(1 - 0.2 / 0.73298));
    now += milliseconds(60);
    shares.setPeerTotals("other", {{1, {9e6, 3e6}}, {2, {1e6, 0.8e6}}, {3, {17020, 0}}}, now);
    CHECK(shares.deprivation(now) == 0);
}
