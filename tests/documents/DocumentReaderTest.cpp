#include "documents/DocumentReader.h"

#include "configuration/ReleaseNote.h"
#include "platform/ConfigurationDecoder.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;
using nlohmann::json;

namespace {

const DocumentSelection selection =
        selectFields({{"a", selectScalar()},
                      {"list", selectElements(selectFields({{"b", selectScalar()}}), 2)},
                      {"texts", selectElements(selectText())}});

std::string nested(std::size_t levels, const std::string &open, const std::string &close)
{
    std::string text;
    for (std::size_t i = 0; i < levels; ++i)
        text += open;
    for (std::size_t i = 0; i < levels; ++i)
        text += close;
    return text;
}

const std::string deepList = nested(100'000, "[", "]");
const std::string deepObject = nested(50'000, R"({"a":)", "}").replace(250'000, 0, "1");

/// Text of what was read; empty for a fault.
std::string read(const std::string &text)
{
    const auto result = readDocument(text, selection);
    const auto *document = std::get_if<json>(&result);
    return document ? document->dump() : "";
}

} // namespace

// Guards against values that are lost, and against values that no one asked for.
TEST_CASE("document, selected and other values, only selected ones are kept")
{
    CHECK(read(R"({"x":[1,{"a":2}],"a":1.5,"y":{"a":[3]},"texts":["t",null,"u"]})")
          == R"({"a":1.5,"texts":["t",null,"u"]})");
    CHECK(read(R"({"list":[{"b":1,"c":2},{"c":3,"b":null},{"b":4}]})")
          == R"({"list":[{"b":1},{"b":null}]})");
    CHECK(read(R"({"a":1,"x":)" + deepList + R"(,"texts":[]})") == R"({"a":1,"texts":[]})");
    CHECK(read("[" + deepList + "]") == "[]");
    CHECK(read("7") == "7");
}

// Guards against a list or an object that passes for another type, or is built for its error.
TEST_CASE("document, container in the place of another type, is kept empty")
{
    CHECK(read(R"({"a":)" + deepList + R"(,"list":{"b":1},"texts":5})")
          == R"({"a":[],"list":{},"texts":5})");
    CHECK(read(R"({"list":[)" + deepList + R"(,{"b":{"c":[]}}]})") == R"({"list":[[],{"b":{}}]})");
}

// Guards against a first value that counts where the last one did, or parts of both.
TEST_CASE("document, repeated fields, last one counts")
{
    CHECK(read(R"({"a":1,"a":"x","list":[{"b":1,"b":2}],"list":[{}]})")
          == R"({"a":"x","list":[{}]})");
    CHECK(read(R"({"texts":["t"],"texts":[[[]]]})") == R"({"texts":[[]]})");
}

// Guards against elements of no use that take memory without bound, or displace those of use.
TEST_CASE("document, many elements of no use, a bounded number is kept")
{
    std::string text = R"({"texts":["first")";
    for (int i = 0; i < 1000; ++i)
        text += ",[],{},0";
    const auto result = readDocument(text + R"(,"last"]})", selection);
    const json &texts = std::get<json>(result).at("texts");
    CHECK(texts.size() == maxUnfitElements + 2);
    CHECK(texts.front() == "first");
    CHECK(texts.back() == "last");
}

// Guards against a text that one of two readers accepts, also in parts that are skipped.
TEST_CASE("document, faulty text, is a fault exactly where the parser finds one")
{
    for (const std::string value : {"1",
                                    "-0",
                                    "1e999",
                                    "01",
                                    "1.",
                                    "18446744073709551616",
                                    "-9223372036854775809",
                                    "tru",
                                    "\"\\u00e9\"",
                                    "\"\\ud800\"",
                                    "\"\\x\"",
                                    "\"\xff\"",
                                    "\"\xc3\xa9\"",
                                    "\"\t\"",
                                    "[1,]",
                                    "[,1]",
                                    "[1 2]",
                                    "{\"a\"}",
                                    "{\"a\":}",
                                    "{a:1}",
                                    "[}",
                                    "]",
                                    "[",
                                    "{",
                                    "\"",
                                    "\"\\\"",
                                    "\"]\"",
                                    "\"\\\\\"",
                                    "/*c*/1",
                                    "",
                                    "[[[]]",
                                    "nul\0l"}) {
        for (const std::string place : {"@", "{\"x\":@}", "{\"a\":@}", "{\"texts\":[@]}",
                                        "\xef\xbb\xbf@", "\xef\xbb@", " @ ", "@ @"}) {
            std::string text = place;
            for (std::size_t at = text.find('@'); at != std::string::npos; at = text.find('@', at))
                text.replace(at, 1, value);
            CAPTURE(text);
            const auto result = readDocument(text, selection);
            const json parsed = json::parse(text, nullptr, false);
            CHECK(std::holds_alternative<json>(result) == !parsed.is_discarded());
            if (parsed.is_object() && parsed.contains("a") && !parsed["a"].is_structured())
                CHECK(std::get<json>(result)["a"].dump() == parsed["a"].dump());
        }
    }
}

// Guards against recursion over a whole document that exhausts the stack.
TEST_CASE("document, kept whole, too many levels are a fault")
{
    const auto readWhole = [](const std::string &text) {
        return readDocument(text, selectWhole(3));
    };
    const std::string text = R"({"a":[{"b":1,"c":{}},2],"d":[[]]})";
    CHECK(std::get<DocumentFault>(readWhole(text)) == DocumentFault::TooDeep);
    CHECK(std::get<json>(readDocument(text, selectWhole(4))) == json::parse(text));
    CHECK(std::get<DocumentFault>(readWhole(deepList)) == DocumentFault::TooDeep);
    CHECK(std::get<DocumentFault>(readWhole("[")) == DocumentFault::Syntax);
}

// Guards against a server that is lost because of what another program added to its entry, and
// against a deep value that is taken for one of another type.
TEST_CASE("server entry, deep values, are ignored or of the wrong type")
{
    const std::string deep = GENERATE(deepList, deepObject);
    const auto decode = [](const std::string &text) {
        return platform::decodeServerEntry("i-1", text);
    };
    const std::string sound = R"({"service":"s","address":"10.1.2.3:8080","zone":"z1","slots":128,)"
                              R"("state":"ready","born":17)";
    const auto plain = std::get<ServerEntry>(decode(sound + "}"));
    const auto entry = std::get<ServerEntry>(decode(sound + R"(,"prior":)" + deep + "}"));
    CAPTURE(deep.substr(0, 10));
    CHECK(entry.service == plain.service);
    CHECK(entry.address == plain.address);
    CHECK(entry.dataCentre == plain.dataCentre);
    CHECK(entry.slots == plain.slots);
    CHECK(entry.startedMs == plain.startedMs);
    for (const std::string field : {"service", "zone", "slots", "address", "state", "born"}) {
        const auto faultWith = [&](const std::string &value) {
            std::string text = sound;
            text.append(",\"").append(field).append("\":").append(value).append("}");
            return std::get<DecodeFault>(decode(text));
        };
        CHECK(faultWith(deep).field == field);
        CHECK(faultWith(deep).expected == faultWith("[]").expected);
    }
}

// Guards against a note whose nesting exhausts the stack.
TEST_CASE("release note, deeply nested value, is a syntax fault")
{
    const std::string tables = nested(50'000, "{a=", "}").replace(150'000, 0, "1");
    for (const std::string &value : {deepList, tables}) {
        const auto result = parseReleaseNote("note = " + value);
        REQUIRE(std::holds_alternative<std::vector<NoteFault>>(result));
        const NoteFault &fault = std::get<std::vector<NoteFault>>(result).front();
        CHECK(fault.kind == NoteFaultKind::Syntax);
        CHECK(fault.expected.find("nested value depth") != std::string::npos);
    }
}
