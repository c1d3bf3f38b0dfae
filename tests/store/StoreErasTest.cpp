#include "store/StoreEras.h"

#include "store/Positions.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace lovagecourse;
using test::at;
using test::inEra;

namespace {

using Outcome = StoreEras::Outcome;

struct StoreErasFixture
{
    std::vector<std::optional<StoreEra>> changes;
    StoreEras eras{[this](auto, auto era) { changes.push_back(era); }};

    Outcome answer(std::uint64_t era) { return eras.onAnswer(StoreEra(era), eras.mark()); }
};

} // namespace

// Guards against a late answer from before the store's return that is taken for a newer one, and
// against changes that are reported for each of several answers.
TEST_CASE_METHOD(StoreErasFixture, "store eras, answers arrive late, the later era counts")
{
    CHECK(answer(4) == Outcome::Current);
    const auto begun = eras.mark();
    CHECK(answer(5) == Outcome::Changed);
    CHECK(answer(5) == Outcome::Current);
    CHECK(eras.onAnswer(StoreEra(4), begun) == Outcome::Ended);
    CHECK(eras.onAnswer(std::nullopt, begun) == Outcome::Ended);
    CHECK(eras.onAnswer(StoreEra(6), begun) == Outcome::Changed);
    CHECK(eras.current() == StoreEra(6));
    CHECK(changes.size() == 2);
}

// Guards against a router that never reads again because a store counts its eras anew or no longer
// names them.
TEST_CASE_METHOD(StoreErasFixture, "store eras, era falls or is missing in a later call, counts")
{
    answer(7);
    CHECK(answer(1) == Outcome::Changed);
    CHECK(eras.onAnswer(std::nullopt, eras.mark()) == Outcome::Changed);
    CHECK(eras.onAnswer(std::nullopt, eras.mark()) == Outcome::Current);
    CHECK(answer(1) == Outcome::Changed);
    CHECK(changes == std::vector<std::optional<StoreEra>>{StoreEra(1), std::nullopt, StoreEra(1)});
}

// Guards against answers of a store that was replaced in the settings.
TEST_CASE_METHOD(StoreErasFixture, "store eras, stopped, reports no change")
{
    answer(1);
    eras.stop();
    answer(2);
    CHECK(changes.empty());
}

// Guards against offsets of different eras that are compared as if of one log.
TEST_CASE("store position, eras differ, neither covers the other")
{
    CHECK(covers(inEra(1, 7), inEra(1, 7)));
    CHECK_FALSE(covers(inEra(1, 6), inEra(1, 7)));
    CHECK_FALSE(covers(inEra(1, 9), inEra(2, 7)));
    CHECK_FALSE(covers(inEra(2, 9), inEra(1, 7)));
    CHECK_FALSE(covers(at(9), inEra(1, 7)));
    CHECK(isAheadOf(inEra(2, 1), inEra(1, 7)));
    CHECK_FALSE(isAheadOf(inEra(1, 9), inEra(2, 7)));
    CHECK_FALSE(isAheadOf(inEra(1, 7), inEra(1, 7)));
}
