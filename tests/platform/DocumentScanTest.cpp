#include "platform/DocumentScan.h"

#include <catch2/catch.hpp>

using namespace lovagecourse::platform;

namespace {

/// Formats the position of a path as "line:column"; empty if it is not found.
std::string positionOf(const std::string &text, const std::string &path)
{
    const auto position = nearestPosition(scanDocument(text, withParents(path)), path);
    if (!position)
        return {};
    return std::to_string(position->line) + ':' + std::to_string(position->column);
}

} // namespace

// Guards against messages that point to another value, and against an absent value without place.
TEST_CASE("document scan, values of all kinds, are located at their first byte")
{
    const std::string text = "{\"n\" : [1,22 ,{\"x\":true},[3],\"a,:]\\\"\"],\n"
                             "  \"o\":{\"y\":-1.5e3,\"z\":null},\n\t\"last\":\n7}";
    CHECK(positionOf(text, "n") == "1:8");
    CHECK(positionOf(text, "n[0]") == "1:9");
    CHECK(positionOf(text, "n[1]") == "1:11");
    CHECK(positionOf(text, "n[2].x") == "1:20");
    CHECK(positionOf(text, "n[3][0]") == "1:27");
    CHECK(positionOf(text, "n[4]") == "1:30");
    CHECK(positionOf(text, "o.y") == "2:12");
    CHECK(positionOf(text, "o.z") == "2:23");
    CHECK(positionOf(text, "last") == "4:1");
    CHECK(positionOf(text, "n[2].absent") == "1:15");
    CHECK(positionOf(text, "absent").empty());
    CHECK(positionOf("{\"o\":{\"y\":1},\"o.y\":2}", "o.y") == "1:11");
    CHECK(positionOf("\xef\xbb\xbf{\"a\":1}", "a") == "1:6");
}

// Guards against positions behind the error, and against a read past the end of the text.
TEST_CASE("document scan, damaged text, reports the first byte that is no JSON")
{
    const auto errorOf = [](const std::string &text) {
        return scanDocument(text, {}).syntaxError.value_or(TextPosition{0, 0});
    };
    CHECK(errorOf("{}") == TextPosition{0, 0});
    CHECK(errorOf("") == TextPosition{1, 1});
    CHECK(errorOf("{\"a\":1,\n \"b\" 2}") == TextPosition{2, 6});
    CHECK(errorOf("{\"a\":1") == TextPosition{1, 7});
    CHECK(errorOf("{\"a\":\"\xff\"}") == TextPosition{1, 7});
    CHECK_FALSE(scanDocument("{\"a\":\"\xff\"}", {}).isUtf8);
    CHECK(scanDocument("{\"a\":\"\u00e4\"}", {}).isUtf8);
}

// Guards against stack and memory that grow with the depth, and against repeated fields unseen.
TEST_CASE("document scan, deep nesting and repeated fields, are reported")
{
    constexpr std::size_t depth = 250000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const DocumentScan scan = scanDocument("{\"a\":" + deep + ",\n\"b\":{\"c\":1,\"c\":2}}", {});
    CHECK(scan.depth == depth + 1);
    CHECK_FALSE(scan.syntaxError);
    REQUIRE(scan.repeatedFields.size() == 1);
    CHECK(scan.repeatedFields[0].path == "b.c");
    CHECK(scan.repeatedFields[0].position == TextPosition{2, 12});
    CHECK(scanDocument(std::string(depth, '['), {}).syntaxError);
    std::string many = "{\"a\":0";
    for (int i = 0; i < 1000; ++i)
        many += ",\"a\":0";
    CHECK(scanDocument(many + "}", {}).repeatedFields.size() == 100);
    const std::string name = '"' + std::string(10000, 'n') + '"';
    const DocumentScan named = scanDocument('{' + name + ":0," + name + ":0}", {});
    REQUIRE(named.repeatedFields.size() == 1);
    CHECK(named.repeatedFields[0].path.size() < 300);
}
