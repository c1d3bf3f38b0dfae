#include "core/Log.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against a name in the store that adds lines of its own to the log.
TEST_CASE("log, text with control characters, stays one line")
{
    CHECK(printable("server=i-1\r\nevent=stopped\t\x7f") == "server=i-1??event=stopped??");
    CHECK(printable("zone=\xc3\xa9") == "zone=\xc3\xa9");
}
