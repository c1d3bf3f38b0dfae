#include "fairness/HomePlacement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace lovagecourse;

namespace {

struct HomePlacementFixture
{
    std::vector<DaemonId> entries;

    HomePlacementFixture()
    {
        for (int i = 0; i < 10; ++i)
            entries.emplace_back("entry" + std::to_string(i));
    }

    static FlowId flowOf(int number)
    {
        return {AccountId("account" + std::to_string(number)), ServiceId("s")};
    }
};

} // namespace

// Guards against an uneven distribution of flows over the entries, and against homes that depend on
// the order of the entries.
TEST_CASE_METHOD(HomePlacementFixture, "home placement, 5000 flows, spreads them over the entries")
{
    CHECK(chooseHome(flowOf(1), {}) == std::nullopt);
    std::vector<DaemonId> reversed(entries.rbegin(), entries.rend());
    std::map<DaemonId, int> counts;
    for (int i = 0; i < 5000; ++i) {
        const auto home = chooseHome(flowOf(i), entries);
        CHECK(home == chooseHome(flowOf(i), reversed));
        ++counts[*home];
    }
    for (const auto &[home, count] : counts)
        CHECK(std::abs(count - 500) < 150);
    CHECK(counts.size() == 10);
}

// Guards against flows that change home when an entry that is not their home dies.
TEST_CASE_METHOD(HomePlacementFixture, "home placement, an entry dies, moves only its flows")
{
    std::vector<DaemonId> fewer = entries;
    fewer.erase(fewer.begin() + 4);
    for (int i = 0; i < 1000; ++i) {
        const auto before = chooseHome(flowOf(i), entries);
        if (before != entries[4])
            CHECK(chooseHome(flowOf(i), fewer) == before);
    }
}
