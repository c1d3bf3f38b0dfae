#include "core/Log.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <sstream>

using namespace lovagecourse;

// Guards against a name in the store that adds lines of its own to the log.
TEST_CASE("log, text with control characters, stays one line")
{
    CHECK(printable("server=i-1\r\nevent=stopped\t\x7f") == "server=i-1??event=stopped??");
    CHECK(printable("zone=\xc3\xa9") == "zone=\xc3\xa9");
}

namespace {

enum class Shade { Dark };

std::ostream &operator<<(std::ostream &out, Shade)
{
    return out << "dark";
}

template <class Value>
void checkAsStream(const Value &value)
{
    std::ostringstream stream;
    stream << value;
    std::string line;
    appendLogText(line, value);
    CHECK(line == stream.str());
}

} // namespace

// Guards against fields that programs read from the log and that change their format.
TEST_CASE("log, values of all types, are written as a stream writes them")
{
    for (const double base : {0., 1., 0.1, 2.5, 99999.95, 123456.5, 999999.5, 1234567., 0.00012345})
        for (const double factor : {1., -1., 1e-3, 1e-5, 1e7, 1. / 3, 1e300, 1e-310})
            checkAsStream(base * factor);
    for (const double special : {std::numeric_limits<double>::infinity(), std::nan(""), -0.,
                                 std::numeric_limits<double>::max()})
        checkAsStream(special);
    checkAsStream(0.1F);
    checkAsStream(std::numeric_limits<std::int64_t>::min());
    checkAsStream(std::numeric_limits<std::uint64_t>::max());
    checkAsStream(std::int16_t(-7));
    checkAsStream('c');
    checkAsStream(std::uint8_t('u'));
    checkAsStream(true);
    checkAsStream("text");
    checkAsStream(std::string_view("view"));
    checkAsStream(ServerId("server-1"));
    checkAsStream(Incarnation(7));
    checkAsStream(Shade::Dark);
}
