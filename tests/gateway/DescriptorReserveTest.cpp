#include "gateway/DescriptorReserve.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace lovagecourse;

// Guards against callers that take the descriptors which servers, store and peers need.
TEST_CASE("descriptor reserve, limits of processes, leave three tenths")
{
    CHECK(callerDescriptors(3075) == 2152);
    CHECK(callerDescriptors(0) == 0);
    CHECK(callerDescriptors(std::numeric_limits<std::size_t>::max())
          < std::numeric_limits<std::size_t>::max());
}

// Guards against closing idle connections without need, and against none being closed when full.
TEST_CASE("descriptor reserve, open connections, closes idle ones above 95 percent")
{
    CHECK(idleConnectionsToClose(95, 100) == 0);
    CHECK(idleConnectionsToClose(100, 100) == 5);
    CHECK(idleConnectionsToClose(0, 0) == 0);
}
