#include "direct/LoadSources.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against tables that grow with each router that was ever replaced, and against a new router
// that inherits the reports of an old one.
TEST_CASE("load sources, sender silent for long, number is used again as new")
{
    LoadSources sources;
    const TimePoint now{std::chrono::hours(1)};
    CHECK(sources.onReport("a", true, now).source == 0);
    CHECK(sources.onReport("b", false, now).source == 1);
    CHECK_FALSE(sources.onReport("b", false, now + seconds(9)).isNew);
    const LoadSources::Numbered replaced = sources.onReport("c", false, now + seconds(11));
    CHECK(replaced.source == 0);
    CHECK(replaced.isNew);
    CHECK(sources.members() == std::vector<bool>{false, false});
    CHECK(sources.onReport("a", true, now + seconds(11)).source == 2);
}
