#include "placing/ReturnPromises.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};

} // namespace

// Guards against requests that are counted as returns outside the told window or twice.
TEST_CASE("return promises, one request in the window, counts once")
{
    ReturnPromises promises;
    promises.onRejected(1, milliseconds(100), start);
    CHECK_FALSE(promises.takeReturn(1, start + milliseconds(99)));
    CHECK_FALSE(promises.takeReturn(2, start + milliseconds(120)));
    CHECK(promises.takeReturn(1, start + milliseconds(120)));
    CHECK_FALSE(promises.takeReturn(1, start + milliseconds(121)));
    promises.onRejected(1, milliseconds(100), start);
    CHECK_FALSE(promises.takeReturn(1, start + milliseconds(100) + ReturnPromises::window * 2));
}
