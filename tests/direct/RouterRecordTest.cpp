#include "direct/RouterRecord.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against routers of two versions that don't find each other, and against foreign records.
TEST_CASE("router record, texts of both versions, are parsed; others are not")
{
    const RouterRecord record{{"10.0.0.1", 7400}, DataCentreId("fi-a")};
    const auto parsed = parseRouterRecord(formatRouterRecord(record));
    REQUIRE(parsed);
    CHECK(parsed->datagramEndpoint == record.datagramEndpoint);
    CHECK(parsed->dataCentre == record.dataCentre);
    const auto older = parseRouterRecord("10.0.0.1:7400");
    REQUIRE(older);
    CHECK_FALSE(older->dataCentre);
    CHECK_FALSE(parseRouterRecord(""));
    CHECK_FALSE(parseRouterRecord("nonsense fi-a"));
}
