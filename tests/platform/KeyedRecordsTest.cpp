#include "core/HeapMeter.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/StoreClient.h"

#include "store/Positions.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace lovagecourse;
using test::at;

namespace {

std::string number(std::uint64_t value, int bytes)
{
    std::string text;
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        text += static_cast<char>(value >> shift);
    return text;
}

std::string record(const std::string &key, const std::string &value)
{
    const std::string content = number(key.size(), 1) + key + value;
    return number(content.size(), 4) + content;
}

} // namespace

// Guards against records that are skipped or read twice.
TEST_CASE("keyed records, values and a deleted key, are read in order")
{
    const std::string bytes = number(12, 8) + number(3, 8) + record("a", "one") + record("b", "");
    const auto result = platform::decodeKeyedRecords(bytes, at(10), KeyedTopic::Servers);
    REQUIRE(std::holds_alternative<KeyedBatch>(result));
    const auto &batch = std::get<KeyedBatch>(result);
    CHECK(batch.next == at(12));
    REQUIRE(batch.records.size() == 2);
    CHECK(batch.records[0].key == "a");
    CHECK(batch.records[0].value == "one");
    CHECK(batch.records[1].key == "b");
    CHECK_FALSE(batch.records[1].value);
}

// Guards against a read beyond the received bytes.
TEST_CASE("keyed records, truncated or impossible answers, are malformed")
{
    const std::string valid = number(11, 8) + number(0, 8) + record("a", "one");
    for (std::size_t length = 17; length < valid.size(); ++length)
        CHECK(std::holds_alternative<StoreFault>(platform::decodeKeyedRecords(
                valid.substr(0, length), at(10), KeyedTopic::Servers)));
    CHECK(std::holds_alternative<StoreFault>(
            platform::decodeKeyedRecords("", at(0), KeyedTopic::Servers)));
    // More records than the end offset allows.
    CHECK(std::holds_alternative<StoreFault>(
            platform::decodeKeyedRecords(valid, at(11), KeyedTopic::Servers)));
}

// Guards against an empty record that stops all routers, which read it again and again.
TEST_CASE("keyed records, an empty record, is skipped")
{
    const std::string bytes =
            number(3, 8) + number(0, 8) + record("a", "x") + number(0, 4) + record("b", "y");
    const auto result = platform::decodeKeyedRecords(bytes, at(0), KeyedTopic::Servers);
    REQUIRE(std::holds_alternative<KeyedBatch>(result));
    CHECK(std::get<KeyedBatch>(result).records.size() == 2);
    CHECK(std::get<KeyedBatch>(result).next == at(3));
}

// Guards against one item that can't be read and hides all others, which routers need to start.
TEST_CASE("keyed page, items that can't be read, are skipped")
{
    const std::string bytes =
            R"({"end_offset":9,"has_more":true,"items":[{"key":"a","value":"b25l"},{"key":"b"},5,)"
            R"({"key":"c","value":"%%"},{"key":7,"value":"b25l"},{"key":"d)"
            + std::string("\xff") + R"(","value":"b25l"},{"key":"e","value":""},)"
            + R"({"key":"f","value":["b25l"]}]})";
    const auto page = platform::decodeKeyedPage(bytes, KeyedTopic::Servers);
    REQUIRE(page);
    CHECK(page->end == LogOffset(9));
    // The next page continues after the last key, also when its item is of no use.
    CHECK(page->after == "f");
    std::vector<std::string> keys;
    for (const KeyedRecord &record : page->records)
        keys.push_back(record.key);
    CHECK(keys.front() == "a");
    CHECK(std::find(keys.begin(), keys.end(), "c") == keys.end());
    CHECK(page->skipped == 5);
}

// Guards against a page that is taken for complete although it is damaged.
TEST_CASE("keyed page, not a page, is rejected")
{
    for (const char *bytes : {"", "[]", "{}", R"({"items":[]})", R"({"items":{},"end_offset":1})",
                              R"({"items":[],"end_offset":-1})", R"({"items":[],"end_offset":1)",
                              R"({"items":[5],"end_offset":1,"has_more":true})"}) {
        CAPTURE(bytes);
        CHECK_FALSE(platform::decodeKeyedPage(bytes, KeyedTopic::Servers));
    }
    const auto last =
            platform::decodeKeyedPage(R"({"items":[],"end_offset":1})", KeyedTopic::Servers);
    REQUIRE(last);
    CHECK(last->after.empty());
}

// Guards against a record of another program that prevents all others from being read.
TEST_CASE("keyed records, a record without a key, is skipped")
{
    const std::string foreignRecord = number(1, 4) + number(200, 1);
    const std::string bytes = number(2, 8) + number(0, 8) + foreignRecord + record("a", "x");
    const auto result = platform::decodeKeyedRecords(bytes, at(0), KeyedTopic::Servers);
    REQUIRE(std::holds_alternative<KeyedBatch>(result));
    CHECK(std::get<KeyedBatch>(result).records.size() == 1);
    CHECK(std::get<KeyedBatch>(result).next == at(2));
}

// Guards against a store that has lost its records and is taken for one with damaged answers.
TEST_CASE("keyed records, store ends before the offset, has lost its history")
{
    const auto result =
            platform::decodeKeyedRecords(number(3, 8) + number(0, 8), at(7), KeyedTopic::Servers);
    REQUIRE(std::holds_alternative<StoreFault>(result));
    CHECK(std::get<StoreFault>(result) == StoreFault::HistoryLost);
    const auto damaged = platform::decodeKeyedRecords(
            number(3, 8) + number(0, 8) + record("a", "x"), at(7), KeyedTopic::Servers);
    REQUIRE(std::holds_alternative<StoreFault>(damaged));
    CHECK(std::get<StoreFault>(damaged) == StoreFault::Malformed);
}

// Guards against a read of many large records of other programs that takes the memory of the
// process.
TEST_CASE("keyed records, many large values, are reduced to what is used")
{
    constexpr std::size_t levels = 100'000;
    const std::string value =
            R"({"note":)" + std::string(levels, '[') + std::string(levels, ']') + "}";
    std::string bytes = number(20, 8) + number(0, 8);
    for (int i = 0; i < 20; ++i)
        bytes += record("k", value);
    const test::HeapMeter meter;
    const auto servers = platform::decodeKeyedRecords(bytes, at(0), KeyedTopic::Servers);
    CHECK(meter.peak() <= 4 * value.size());
    REQUIRE(std::holds_alternative<KeyedBatch>(servers));
    CHECK(std::get<KeyedBatch>(servers).records.size() == 20);
    CHECK(std::get<KeyedBatch>(servers).records[0].value == "{}");
    // The values of the other topics have other readers.
    const auto others = platform::decodeKeyedRecords(bytes, at(0), KeyedTopic::Configuration);
    CHECK(std::get<KeyedBatch>(others).records[0].value == value);
}

// Guards against a record that is read otherwise because it is large.
TEST_CASE("server entry, reduced, is decoded to the same result")
{
    const std::string fields = R"("service":"s","address":"10.1.2.3:8080","zone":"z","slots":1,)"
                               R"("state":"ready","version":"v","born":17,"cold_left_ms":1.5)";
    for (const std::string &text :
         {"{" + fields + R"(,"note":[[]]})", "{" + fields + R"(,"slots":-0})",
          "{" + fields + R"(,"cold_left_ms":-0})", "{" + fields + R"(,"cold_left_ms":1e-320})",
          "{" + fields + R"(,"born":18446744073709551615})", "{" + fields + R"(,"born":1.0})",
          "{" + fields + R"(,"zone":[[]]})", "{" + fields + R"(,"service":"\u00e9\u0000"})",
          "{" + fields + R"(,"version":null})", "{" + fields, std::string("[[]]"), std::string("7"),
          std::string()}) {
        CAPTURE(text);
        const auto whole = platform::decodeServerEntry("i", text);
        const auto reduced = platform::decodeServerEntry("i", platform::reduceServerEntry(text));
        REQUIRE(whole.index() == reduced.index());
        if (const auto *fault = std::get_if<DecodeFault>(&whole)) {
            CHECK(std::get<DecodeFault>(reduced).field == fault->field);
            CHECK(std::get<DecodeFault>(reduced).expected == fault->expected);
            continue;
        }
        const auto &entry = std::get<ServerEntry>(reduced);
        const auto &expected = std::get<ServerEntry>(whole);
        CHECK(entry.service == expected.service);
        CHECK(entry.address == expected.address);
        CHECK(entry.dataCentre == expected.dataCentre);
        CHECK(entry.version == expected.version);
        CHECK(entry.slots == expected.slots);
        CHECK(entry.startedMs == expected.startedMs);
        CHECK(entry.warmingLeft == expected.warmingLeft);
    }
}
