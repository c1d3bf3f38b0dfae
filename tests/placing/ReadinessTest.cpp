#include "placing/Readiness.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct ReadinessFixture
{
    ReadinessInput input{true, true, false, false, false};
};

} // namespace

TEST_CASE_METHOD(ReadinessFixture, "readiness, everything known and no trouble, is ready")
{
    CHECK(isReady(input));
    CHECK(reasonsNotReady(input).empty());
}

// Guards against a router that is not ready while its log does not say why.
TEST_CASE_METHOD(ReadinessFixture, "readiness, several reasons, names each of them")
{
    CHECK(reasonsNotReady({}) == "no-configuration,no-servers");
    input.isStopping = true;
    CHECK_FALSE(isReady(input));
    CHECK(reasonsNotReady(input) == "stopping");
    input.isOverloaded = true;
    input.isPaused = true;
    CHECK(reasonsNotReady(input) == "stopping,overloaded,rotation-paused");
}
