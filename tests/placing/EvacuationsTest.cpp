#include "placing/Evacuations.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct EvacuationsFixture
{
    Evacuations evacuations;
    TimePoint now{std::chrono::hours(1)};
    const DataCentreId a{"a"};
    const DataCentreId b{"b"};
};

} // namespace

// Guards against a change back that is lost, and against a repeated record that counts as a change.
TEST_CASE_METHOD(EvacuationsFixture, "evacuations, record and its deletion, each changes once")
{
    CHECK(evacuations.apply(a, true, now));
    CHECK_FALSE(evacuations.apply(a, true, now + seconds(1)));
    CHECK(evacuations.changedAt(a) == now);
    CHECK(evacuations.isEvacuated(a));
    CHECK_FALSE(evacuations.isEvacuated(b));
    CHECK(evacuations.apply(a, false, now + seconds(2)));
    CHECK_FALSE(evacuations.isEvacuated(a));
    CHECK(evacuations.changedAt(a) == now + seconds(2));
    CHECK(evacuations.apply(a, true, now + seconds(3)));
    CHECK(evacuations.count() == 1);
}

// Guards against an evacuation that never ends because the store has dropped the history with its
// deletion, and against one that a full read ends although its record is there.
TEST_CASE_METHOD(EvacuationsFixture, "evacuations, full read, replaces the whole set")
{
    evacuations.apply(a, true, now);
    const auto changes = evacuations.replaceAll({b}, now + seconds(1));
    CHECK(changes == std::vector<EvacuationChange>{{a, false}, {b, true}});
    CHECK_FALSE(evacuations.isEvacuated(a));
    CHECK(evacuations.isEvacuated(b));
    CHECK(evacuations.replaceAll({b}, now + seconds(2)).empty());
    CHECK(evacuations.changedAt(b) == now + seconds(1));
}

// Guards against a deletion of an unknown record that makes servers count as returning.
TEST_CASE_METHOD(EvacuationsFixture, "evacuations, deletion of an unknown record, changes nothing")
{
    CHECK_FALSE(evacuations.apply(a, false, now));
    CHECK_FALSE(evacuations.changedAt(a).has_value());
    CHECK(evacuations.count() == 0);
}
