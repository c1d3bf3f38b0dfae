#include "placing/WarmingShare.h"

#include "placing/WarmingState.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <random>
#include <set>

using namespace lovagecourse;

namespace {

const DataCentreId a("a");
const DataCentreId b("b");

WarmingView viewOf(RouterHash self, const std::vector<RouterHash> &local)
{
    return WarmingView{self, true, {{a, local}, {b, {900, 901}}}};
}

std::vector<RouterSighting> sightings(const std::vector<RouterHash> &routers, TimePoint heard)
{
    std::vector<RouterSighting> result;
    result.reserve(routers.size());
    for (const RouterHash router : routers)
        result.push_back(RouterSighting{router, heard});
    return result;
}

/// Routers of one data centre that always have requests for a warming server, and reports between
/// them that are lost and late. The server restarts again and again.
struct WarmingFleet
{
    static constexpr milliseconds step{50};
    static constexpr milliseconds warmingTime{3000};

    struct Router
    {
        LiveRouters live;
        WarmingState state;
        std::vector<TimePoint> heard;
        /// The router is down until then, and knows nothing after it.
        TimePoint downUntil;
        /// The router hears of the run at this time.
        TimePoint hearsRunAt;
        bool knowsRun = false;
        bool side = false;
    };

    std::mt19937_64 random;
    double perSecond;
    std::vector<Router> routers;
    TimePoint now{std::chrono::hours(1)};
    TimePoint startedAt;
    std::uint64_t run = 1;
    bool isPartitioned = false;
    std::deque<TimePoint> arrivals;
    std::size_t mostInASecond = 0;
    std::size_t total = 0;

    WarmingFleet(std::size_t count, double rate, std::uint64_t seed)
        : random(seed)
        , perSecond(rate)
        , routers(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            reset(i);
    }

    std::size_t draw(std::size_t range) { return random() % range; }

    /// Starts a process that has read the others' registrations.
    void reset(std::size_t index)
    {
        Router &router = routers[index];
        router.live = LiveRouters();
        router.state = WarmingState();
        router.heard.assign(routers.size(), TimePoint());
        router.knowsRun = false;
    }

    void exchangeReports()
    {
        for (std::size_t from = 0; from < routers.size(); ++from) {
            for (std::size_t to = 0; to < routers.size(); ++to) {
                const bool isCut = isPartitioned && routers[from].side != routers[to].side;
                const bool isDown = now < routers[from].downUntil || now < routers[to].downUntil;
                if (from != to && !isCut && !isDown && draw(10) < 7)
                    routers[to].heard[from] = now;
            }
        }
    }

    void restartServer()
    {
        ++run;
        startedAt = now;
        for (Router &router : routers) {
            router.knowsRun = false;
            router.hearsRunAt = now + milliseconds(draw(1500));
        }
    }

    void update(std::size_t index)
    {
        Router &router = routers[index];
        std::vector<RouterSighting> members;
        for (std::size_t other = 0; other < routers.size(); ++other) {
            if (other != index)
                members.push_back(
                        RouterSighting{static_cast<RouterHash>(other), router.heard[other]});
        }
        router.live.update(members, true, now);
        if (!router.knowsRun && now >= router.hearsRunAt) {
            router.knowsRun = true;
            router.state = WarmingState();
            setWarmingLimits(router.state, WarmingLimits{warmingTime, perSecond}, now);
            onWarmingReported(router.state, warmingTime, now);
        }
        WarmingView view{
                static_cast<RouterHash>(index), router.live.isKnown(), {{a, router.live.live()}}};
        view.routers[a].push_back(view.self);
        setWarmingShare(router.state, warmingShare(view, a, run), warmingRamp(view.self, run), now);
    }

    void sendAll()
    {
        for (Router &router : routers) {
            const bool isUp = now >= router.downUntil && router.knowsRun;
            while (isUp && now - startedAt < warmingTime && hasWarmingToken(router.state, now)) {
                REQUIRE(isWarming(router.state, now));
                takeWarmingToken(router.state, now);
                arrivals.push_back(now);
                ++total;
            }
        }
        while (!arrivals.empty() && now - arrivals.front() >= seconds(1))
            arrivals.pop_front();
        mostInASecond = std::max(mostInASecond, arrivals.size());
    }

    void play(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            if (draw(400) == 0) {
                isPartitioned = !isPartitioned;
                for (Router &router : routers)
                    router.side = draw(2) == 0;
            }
            if (draw(80) == 0) {
                const std::size_t index = draw(routers.size());
                // Half of them are only suspended and keep what they know.
                if (draw(2) == 0)
                    reset(index);
                routers[index].downUntil = now + milliseconds(draw(8000));
            }
            if (now - startedAt >= warmingTime + seconds(1) || draw(200) == 0)
                restartServer();
            if (i % 4 == 0)
                exchangeReports();
            for (std::size_t index = 0; index < routers.size(); ++index) {
                if (now >= routers[index].downUntil)
                    update(index);
            }
            sendAll();
            now += step;
        }
    }
};

} // namespace

// Guards against a share that two routers or no router have, and against one that changes for all
// servers when one router comes or goes.
TEST_CASE("warming share, equal views, few routers have equal shares of each server")
{
    const std::vector<RouterHash> routers{1, 2, 3, 4, 5, 6, 7, 8};
    std::set<RouterHash> used;
    for (std::uint64_t run = 0; run < 100; ++run) {
        double sum = 0;
        for (const RouterHash router : routers) {
            const double share = warmingShare(viewOf(router, routers), a, run);
            CHECK((share == 0 || share == 0.5));
            sum += share;
            if (share > 0)
                used.insert(router);
        }
        CHECK(sum == 1);
    }
    CHECK(used.size() == routers.size());
    CHECK(warmingShare(viewOf(1, {1}), a, 7) == 1);
}

// Guards against routers of several data centres that all use a server's rate.
TEST_CASE("warming share, server of another data centre, is left to its routers")
{
    CHECK(warmingShare(viewOf(1, {1}), b, 7) == 0);
    double sum = 0;
    for (const RouterHash router : {1, 2, 900, 901})
        sum += warmingShare(viewOf(router, {1, 2}), DataCentreId("without-routers"), 7);
    CHECK(sum == 1);
}

// Guards against a router that has just started and takes the rate of a server for itself.
TEST_CASE("warming share, others not heard yet, none")
{
    LiveRouters live;
    TimePoint now{std::chrono::hours(1)};
    live.update(sightings({1, 2, 3}, {}), true, now);
    CHECK_FALSE(live.isKnown());
    now += milliseconds(500);
    live.update(sightings({1, 2, 3}, now), false, now);
    CHECK_FALSE(live.isKnown());
    live.update(sightings({1, 2, 3}, now), true, now);
    CHECK(live.isKnown());
    // Suspended.
    const TimePoint heard = now;
    now += seconds(2);
    live.update(sightings({1, 2, 3}, heard), true, now);
    CHECK_FALSE(live.isKnown());
    live.update({}, true, now + milliseconds(50));
    CHECK(live.isKnown());
}

// Guards against a router that is cut off and takes over the shares of all others.
TEST_CASE("warming share, cut off, keeps the last view for a minute")
{
    LiveRouters live;
    TimePoint now{std::chrono::hours(1)};
    const TimePoint heard = now;
    for (int i = 0; i < 1100; ++i, now += milliseconds(50)) {
        live.update(sightings({1, 2, 3}, heard), true, now);
        REQUIRE(live.live().size() == 3);
    }
    for (int i = 0; i < 200; ++i, now += milliseconds(50))
        live.update(sightings({1, 2, 3}, heard), true, now);
    CHECK(live.live().empty());
}

// Guards against more requests in a second than a warming server survives, summed over all routers,
// with lost and late reports, restarts, suspensions and partitions.
TEST_CASE("warming share, random histories, routers together keep to the bound in each second")
{
    const std::size_t count = GENERATE(3, 23, 103);
    const double perSecond = GENERATE(5.9, 11.);
    const int seeds = count > 50 ? 3 : 20;
    std::size_t total = 0;
    for (int seed = 0; seed < seeds; ++seed) {
        CAPTURE(count, perSecond, seed);
        WarmingFleet fleet(count, perSecond, static_cast<std::uint64_t>(seed));
        fleet.play(2000);
        CHECK(static_cast<double>(fleet.mostInASecond) <= 1.5 * perSecond + 5);
        total += fleet.total;
    }
    // The rate is used, not only kept.
    CHECK(static_cast<double>(total) > 0.2 * perSecond * 100 * seeds);
}
