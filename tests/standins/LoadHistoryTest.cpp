#include "../../standins/LoadHistory.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;
using namespace std::chrono_literals;

// Guards against load reports that are newer than the configured lag.
TEST_CASE("load history, changing load, reports it with the lag")
{
    LoadHistory history(2000ms);
    const std::chrono::steady_clock::time_point start(1h);
    for (int step = 0; step <= 50; ++step) {
        const auto index = static_cast<std::uint64_t>(step);
        history.add({start + step * 100ms, index, index * 10});
    }
    const LoadReport report = history.report(start + 5s);
    CHECK(report.running == 30);
    CHECK(report.tokensPerSecond == Approx(100));
    CHECK(LoadHistory(1000ms).report(start).running == 0);
}
