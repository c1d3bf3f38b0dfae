#include "placing/LimitParts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <random>

using namespace lovagecourse;

namespace {

constexpr ServiceHash service = 7;

/// Routers of one data centre that tell each other what they receive.
struct LimitPartsFixture
{
    std::vector<LimitParts> routers;
    TimePoint now{std::chrono::hours(1)};

    explicit LimitPartsFixture(std::size_t count = 5)
        : routers(count)
    {}

    RouterCounts counts() const { return {routers.size(), routers.size()}; }

    void receive(std::size_t router, int requests)
    {
        for (int i = 0; i < requests; ++i)
            routers[router].onRequest(service, now);
    }

    template <class IsLost>
    void tell(IsLost isLost)
    {
        for (std::size_t from = 0; from < routers.size(); ++from) {
            for (std::size_t to = 0; to < routers.size(); ++to) {
                if (from != to && !isLost(from, to))
                    routers[to].onReport(std::to_string(from), routers[from].ownDemands(now), now);
            }
        }
    }

    double partOf(std::size_t router) const { return routers[router].part(service, counts(), now); }

    double partsTogether() const
    {
        double sum = 0;
        for (std::size_t router = 0; router < routers.size(); ++router)
            sum += partOf(router);
        return sum;
    }
};

} // namespace

// Guards against a limit that every router uses as a whole because it hears nobody.
TEST_CASE_METHOD(LimitPartsFixture, "limit parts, no reports, divided evenly")
{
    receive(0, 50);
    for (std::size_t router = 0; router < routers.size(); ++router)
        CHECK(partOf(router) == Approx(0.2));
    // Routers of other data centres count as well.
    CHECK(routers[0].part(service, {5, 20}, now) == Approx(0.05));
}

// Guards against capacity that lies idle because callers are spread unevenly.
TEST_CASE_METHOD(LimitPartsFixture, "limit parts, one router gets most callers, gets most of it")
{
    receive(0, 80);
    receive(1, 10);
    tell([](auto, auto) { return false; });
    CHECK(partOf(0) > 0.7);
    CHECK(partOf(4) >= 0.04);
    CHECK(partsTogether() == Approx(1));
    now += seconds(2);
    CHECK(partOf(0) == Approx(0.2));
}

// Guards against a router that restarts and takes what others use.
TEST_CASE_METHOD(LimitPartsFixture, "limit parts, a router starts, gets an even part at most")
{
    receive(0, 80);
    receive(1, 80);
    tell([](auto, auto) { return false; });
    routers[2] = LimitParts();
    receive(2, 200);
    CHECK(partOf(2) == Approx(0.2));
    CHECK(partsTogether() < 1.5);
}

// Guards against limits that lie idle because one data centre gets most of the callers.
TEST_CASE("limit parts, one data centre gets most callers, gets most of it")
{
    // Two data centres of 4 and 2 routers.
    LimitPartsFixture large(4);
    LimitPartsFixture small(2);
    const auto partsTogether = [&] {
        double sum = 0;
        for (const LimitParts &router : large.routers)
            sum += router.part(service, {4, 6}, large.now);
        for (const LimitParts &router : small.routers)
            sum += router.part(service, {2, 6}, large.now);
        return sum;
    };
    small.receive(0, 90);
    small.receive(1, 30);
    large.receive(0, 10);
    large.tell([](auto, auto) { return false; });
    small.tell([](auto, auto) { return false; });
    CHECK(partsTogether() == Approx(1).margin(0.001));
    CHECK(small.routers[0].part(service, {2, 6}, large.now) < 0.35);
    for (LimitParts &router : small.routers)
        router.onDataCentreReport("large", 4, large.routers[0].dataCentreDemands(large.now),
                                  large.now);
    for (LimitParts &router : large.routers)
        router.onDataCentreReport("small", 2, small.routers[0].dataCentreDemands(large.now),
                                  large.now);
    CHECK(partsTogether() == Approx(1).margin(0.001));
    CHECK(small.routers[0].part(service, {2, 6}, large.now) > 0.5);
    CHECK(large.routers[1].part(service, {4, 6}, large.now) > 0.005);
}

// Guards against parts that add up to more than servers tolerate when reports are lost or late.
TEST_CASE("limit parts, reports lost and late, requests stay within the tolerated excess")
{
    const std::size_t count = GENERATE(2, 5, 25);
    std::mt19937 random(31);
    for (int round = 0; round < 100; ++round) {
        LimitPartsFixture fleet(count);
        const double lossRate = std::uniform_real_distribution<>(0, 1)(random);
        std::vector<int> demands(count);
        for (int &demand : demands)
            demand = std::uniform_int_distribution<>(0, 40)(random);
        for (int step = 0; step < 20; ++step) {
            fleet.now += milliseconds(100);
            for (std::size_t router = 0; router < count; ++router)
                fleet.receive(router, demands[router]);
            fleet.tell([&](auto, auto) {
                return std::uniform_real_distribution<>(0, 1)(random) < lossRate;
            });
        }
        // Steady demands: what routers believe of each other is old or missing, not wrong.
        CHECK(fleet.partsTogether() < 1.5);
    }
}
