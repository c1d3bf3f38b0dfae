#include "platform/ConfigurationDecoder.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

const std::string validConfiguration = R"({"version":7,"unknown":[1],
 "routes":[
  {"name":"r1","hostname":"h.example","path_prefix":"/a/","route_kind":"streaming",
   "timeout_ms":8000,"slo_ms":600,"priority":1,"max_attempts":1,"public":false,"resumable":true,
   "split":[{"service":"s","weight":90},{"service":"t","weight":10}]},
  {"name":"r2","hostname":"h.example","path_prefix":"/a/b/","route_kind":"safe",
   "timeout_ms":800,"slo_ms":150,"service":"t","max_attempts":2,"public":true}],
 "services":[{"name":"s","max_conns":630,"engine":{"slots":128,"kv_capacity":789097}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"idle_timeout_ms":15000,
           "tokens_per_s":1100000},
 "tenants":[{"name":"museum","api_keys":["k1","k2"],"priority":1}]})";

const std::string validEntry = R"({"service":"s","address":"10.1.2.3:8080","zone":"z1",
 "version":"v1","slots":128,"state":"ready","cold_left_ms":0,"sequence":4,"born":1700000000000})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t found = text.find(from);
    REQUIRE(found != std::string::npos);
    return text.replace(found, from.size(), to);
}

std::string faultOfEntry(const std::string &bytes)
{
    const auto decoded = platform::decodeServerEntry("i-1", bytes);
    const auto *fault = std::get_if<DecodeFault>(&decoded);
    return fault ? fault->field : "";
}

} // namespace

// Guards against fields that are decoded wrongly, and against unknown fields that stop decoding.
TEST_CASE("configuration decoder, valid configuration, decodes all fields that the router uses")
{
    const auto decoded = platform::decodeConfiguration(validConfiguration);
    REQUIRE(std::holds_alternative<DirectConfiguration>(decoded));
    const auto &configuration = std::get<DirectConfiguration>(decoded);
    CHECK(configuration.version == 7);
    CHECK(configuration.accounts.at("k2") == AccountId("museum"));
    CHECK(accountPriority(configuration, AccountId("museum")) == 1);
    CHECK(accountPriority(configuration, AccountId("unknown")) == 1);
    CHECK(configuration.services.at(ServiceId("s")).cacheTokens == 789097);
    CHECK(configuration.idleTimeout == seconds(15));
    const Route *route = selectRoute(configuration, "h.example", "/a/x");
    REQUIRE(route);
    CHECK(route->kind == RequestKind::ResumableStream);
    CHECK(selectService(*route, 0.5) == ServiceId("s"));
    CHECK(selectService(*route, 0.95) == ServiceId("t"));
    const Route *longer = selectRoute(configuration, "h.example", "/a/b/c");
    REQUIRE(longer);
    CHECK(longer->kind == RequestKind::Safe);
    CHECK(longer->isPublic);
    CHECK_FALSE(selectRoute(configuration, "other.example", "/a/x"));
    CHECK_FALSE(selectRoute(configuration, "h.example", "/c"));
}

// Guards against a damaged record that replaces a valid configuration.
TEST_CASE("configuration decoder, damaged configuration, names the field")
{
    for (const auto &[bytes, field] : std::vector<std::pair<std::string, std::string>>{
                 {"\xff{", "document"},
                 {replaced(validConfiguration, "\"version\":7", "\"version\":\"7\""), "version"},
                 {replaced(validConfiguration, "\"safe\"", "\"odd\""), "route_kind"},
                 {replaced(validConfiguration, "[\"k1\",\"k2\"],\"priority\":1",
                           "[],\"priority\":-1"),
                  "priority"},
                 {replaced(validConfiguration, "[\"k1\",\"k2\"]", "[1]"), "api_keys"}}) {
        const auto decoded = platform::decodeConfiguration(bytes);
        REQUIRE(std::holds_alternative<DecodeFault>(decoded));
        CHECK(std::get<DecodeFault>(decoded).field == field);
    }
}

// Guards against an operator who has to search the field, and against faults without bound.
TEST_CASE("configuration decoder, several damaged fields, lists them with their paths")
{
    const auto pathsOf = [](const std::string &bytes) {
        std::string paths;
        const auto decoded = platform::decodeListedConfiguration(bytes);
        for (const DecodeFault &fault : std::get<std::vector<DecodeFault>>(decoded))
            paths += fault.path + ' ';
        return paths;
    };
    const std::string damaged = replaced(validConfiguration, "\"weight\":10", "\"weight\":-1");
    CHECK(pathsOf(replaced(damaged, "[\"k1\",\"k2\"]", "[\"k1\",2]"))
          == "routes[0].split[1].weight tenants[0].api_keys[1] ");
    CHECK(pathsOf(replaced(validConfiguration, "789097", "\"789097\""))
          == "services[0].engine.kv_capacity ");
    CHECK(pathsOf(replaced(validConfiguration, "4194304", "null")) == "limits.max_body_bytes ");
    CHECK(pathsOf("{") == " ");
    std::string many = "{\"version\":1,\"services\":[0";
    for (int i = 0; i < 1000; ++i)
        many += ",0";
    const auto decoded = platform::decodeListedConfiguration(many + "]}");
    CHECK(std::get<std::vector<DecodeFault>>(decoded).size() == 100);
}

// Guards against an odd entry that ends the process, or that is taken for a server with other
// properties than it has.
TEST_CASE("server entry, odd values of another writer, names no server to use")
{
    constexpr std::size_t depth = 250000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    CHECK(faultOfEntry(replaced(validEntry, "\"v1\"", deep)).empty());
    CHECK(faultOfEntry(replaced(validEntry, "128", deep)) == "slots");
    CHECK(faultOfEntry(std::string(depth, '[')) == "document");
    CHECK(faultOfEntry(std::string(depth, '{')) == "document");
    for (const char *slots : {"4294967296", "4294967297", "18446744073709551616", "1e3", "1e999",
                              "-1", "128.5", "null", "[128]", "true"}) {
        CAPTURE(slots);
        CHECK_FALSE(faultOfEntry(replaced(validEntry, "128", slots)).empty());
    }
    for (const char *address : {"10.1.2.3:0", "10.1.2.3:65536", "10.1.2.3:-1", "10.1.2.3:8080x",
                                "10.1.2.3:", "10.1.2.300:80", "[::1]:80", "host:80", ":80"}) {
        CAPTURE(address);
        CHECK(faultOfEntry(replaced(validEntry, "10.1.2.3:8080", address)) == "address");
    }
    for (const char *born : {"1e12", "-5", "1.5", "99999999999999999999"})
        CHECK_FALSE(faultOfEntry(replaced(validEntry, "1700000000000", born)).empty());
    CHECK(faultOfEntry(replaced(validEntry, "z1", "z\xff")) == "document");
    CHECK(faultOfEntry(replaced(validEntry, "z1", "z\\u0000\\n1")) == "zone");
    CHECK(faultOfEntry(replaced(validEntry, "\"s\"", "\"s\\r\\nx\"")) == "service");
    // The id is sent in a header.
    for (const std::string id : {"i-1\r\nx-other: 1", "i 1", "", "i-\xff", "i\t1"}) {
        CAPTURE(id);
        const auto decoded = platform::decodeServerEntry(id, validEntry);
        REQUIRE(std::holds_alternative<DecodeFault>(decoded));
        CHECK(std::get<DecodeFault>(decoded).field == "id");
    }
    // The last of repeated keys counts.
    CHECK(faultOfEntry(replaced(validEntry, "\"slots\":128", "\"slots\":\"x\",\"slots\":128"))
                  .empty());
}

// Guards against servers that are used although their entry is draining or damaged.
TEST_CASE("server entry, valid and damaged records, only valid ones are decoded")
{
    const auto decoded = platform::decodeServerEntry("i-1", validEntry);
    REQUIRE(std::holds_alternative<ServerEntry>(decoded));
    const auto &entry = std::get<ServerEntry>(decoded);
    CHECK(entry.id == ServerId("i-1"));
    CHECK(entry.address == Endpoint{"10.1.2.3", 8080});
    CHECK(entry.startedMs == 1700000000000);
    CHECK_FALSE(entry.isDraining);
    CHECK(std::get<ServerEntry>(platform::decodeServerEntry(
                                        "i-1", replaced(validEntry, "\"ready\"", "\"draining\"")))
                  .isDraining);
    CHECK(faultOfEntry(replaced(validEntry, "\"ready\"", "\"asleep\"")) == "state");
    CHECK(faultOfEntry(replaced(validEntry, "10.1.2.3:8080", "nowhere")) == "address");
    CHECK(faultOfEntry(replaced(validEntry, "128", "\"128\"")) == "slots");
    CHECK(faultOfEntry(replaced(validEntry, "\"s\"", "5")) == "service");
    CHECK(faultOfEntry("not json") == "document");
}

// Guards against a record of another kind that evacuates a data centre, and against an evacuation
// of a name that no server has.
TEST_CASE("evacuation record, keys of all kinds, only evacuations name a data centre")
{
    CHECK(platform::evacuatedDataCentre("evacuate/z1") == DataCentreId("z1"));
    CHECK(platform::evacuatedDataCentre("evacuate/z/1") == DataCentreId("z/1"));
    for (const std::string key :
         {"config", "evacuate", "evacuate/", "evacuate/z\n1", "EVACUATE/z1", "x/evacuate/z1", ""}) {
        CAPTURE(key);
        CHECK_FALSE(platform::evacuatedDataCentre(key).has_value());
    }
}

// Guards against a server that counts as warm, or as warming for ever, because of an odd time.
TEST_CASE("server entry, time to warm up, is optional and bounded")
{
    const auto left = [](const std::string &value) {
        const auto decoded = platform::decodeServerEntry(
                "i-1", replaced(validEntry, "\"cold_left_ms\":0", "\"cold_left_ms\":" + value));
        const auto *entry = std::get_if<ServerEntry>(&decoded);
        return entry ? entry->warmingLeft : milliseconds(-1);
    };
    const auto absent =
            platform::decodeServerEntry("i-1", replaced(validEntry, "\"cold_left_ms\":0,", ""));
    CHECK(std::get<ServerEntry>(absent).warmingLeft == milliseconds(0));
    CHECK(left("2500.5") == milliseconds(2500));
    CHECK(left("0") == milliseconds(0));
    CHECK(left("1e300") == milliseconds(1000000000000));
    for (const char *odd : {"-1", "\"2500\"", "null", "1e999"}) {
        CAPTURE(odd);
        CHECK(left(odd) == milliseconds(-1));
    }
}

// Guards against limits of warming servers that are taken from absent or odd fields.
TEST_CASE("configuration, limits of warming servers, are optional and checked")
{
    const auto decode = [](const std::string &fields) {
        return platform::decodeConfiguration("{\"version\":1,\"services\":[{\"name\":\"s\"" + fields
                                             + "}]}");
    };
    const auto limits = [&](const std::string &fields) {
        return std::get<DirectConfiguration>(decode(fields)).services.at(ServiceId("s"));
    };
    CHECK(limits("").warmingTime == milliseconds(0));
    CHECK(limits("").warmingRate == 0);
    CHECK(limits(",\"cold_s\":3.0,\"cold_per_s\":5.9").warmingTime == milliseconds(3000));
    CHECK(limits(",\"cold_s\":3.0,\"cold_per_s\":5.9").warmingRate == 5.9);
    CHECK(limits(",\"cold_s\":1e300").warmingTime == milliseconds(1000000000000));
    for (const char *odd :
         {",\"cold_s\":-1", ",\"cold_per_s\":-0.5", ",\"cold_s\":\"3\"", ",\"cold_per_s\":null"}) {
        CAPTURE(odd);
        CHECK(std::holds_alternative<DecodeFault>(decode(odd)));
    }
}
