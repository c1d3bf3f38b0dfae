#include "placing/SlotServers.h"
#include "placing/PlacementChoice.h"
#include "placing/ServerModel.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

using namespace lovagecourse;

namespace {

constexpr unsigned slots = 6;
constexpr double workMs = 45;

} // namespace

// Guards against a wait before free slots, and against one that ignores that slots end requests in
// parallel.
TEST_CASE("slot servers, requests before it, wait is their number by slots")
{
    CHECK(slotWaitMs({workMs, 5, slots}) == 0);
    CHECK(slotWaitMs({workMs, 6, slots}) == Approx(workMs / slots));
    CHECK(slotWaitMs({workMs, 17, slots}) == Approx(2 * workMs));
    CHECK(slotWaitMs({workMs, 100, 0}) == 0);
    CHECK(slotSpreadCostMs({workMs, 100, 0}, ServerId("s1"), 1) == 0);
    CHECK(slotSpreadCostMs({workMs, 4, slots}, ServerId("s1"), 1)
          > slotSpreadCostMs({workMs, 1, slots}, ServerId("s1"), 1));
}

// Guards against work times that are learned from the shortest requests only, because longer ones
// are overtaken.
TEST_CASE("server model, parallel work of 30 and 60 ms, both train the time of one")
{
    PrefillSpeed speed(0);
    ServerModel model;
    TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 100; ++i) {
        const SendNumber slow = model.onSent(speed, {}, {}, slots, now);
        const SendNumber fast = model.onSent(speed, {}, {}, slots, now);
        now += milliseconds(30);
        model.onFirstByte(speed, fast, now);
        model.onEnded(fast);
        now += milliseconds(30);
        model.onFirstByte(speed, slow, now);
        model.onEnded(slow);
    }
    CHECK(speed.baseMs() * model.slowness(now) > 36);
    CHECK(speed.baseMs() * model.slowness(now) < 54);
}

// Guards against a server that gets all requests of a burst, because 30 routers with reports of
// each other's requests that are 200 ms old prefer the same one of equal servers. Replays half a
// second of 325 requests a second at five servers with work of 30 and 60 ms.
TEST_CASE("slot servers, burst with late reports, no server's queue grows long")
{
    constexpr std::size_t serverCount = 5;
    constexpr int requestCount = 162;
    std::mt19937 random(5);
    std::array<std::vector<double>, serverCount> ends;
    std::array<unsigned, serverCount> reported{};
    double lastReport = 0;
    double longestWaitMs = 0;
    for (int i = 0; i < requestCount; ++i) {
        const double now = i * 1000. / 325;
        for (auto &server : ends)
            std::erase_if(server, [&](double end) { return end <= now; });
        if (now - lastReport >= 200) {
            lastReport = now;
            for (std::size_t s = 0; s < serverCount; ++s)
                reported[s] = static_cast<unsigned>(ends[s].size());
        }
        std::vector<PlacementCandidate> candidates(serverCount);
        for (std::size_t s = 0; s < serverCount; ++s) {
            const SlotLoad load{workMs, reported[s], slots};
            candidates[s].server = ServerId("s" + std::to_string(s));
            candidates[s].baseMs = workMs;
            candidates[s].waitMs = slotWaitMs(load);
            // Each request is another router's, so none of its own runs there.
            candidates[s].spreadCostMs = slotSpreadCostMs({workMs, 0, slots}, candidates[s].server,
                                                          static_cast<std::uint64_t>(i));
        }
        std::vector<double> &chosen = ends[choosePlacement(candidates, 0, 150).value()];
        double begin = now;
        if (chosen.size() >= slots) {
            std::sort(chosen.begin(), chosen.end());
            begin = chosen[chosen.size() - slots];
        }
        longestWaitMs = std::max(longestWaitMs, begin - now);
        chosen.push_back(begin + (random() % 2 == 0 ? 30 : 60));
    }
    CHECK(longestWaitMs < workMs);
}
