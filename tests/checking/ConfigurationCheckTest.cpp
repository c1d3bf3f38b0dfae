#include "checking/ConfigurationCheck.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/FieldPaths.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

const std::string soundConfiguration = R"({"version":7,
 "routes":[
  {"name":"r1","hostname":"h.example","path_prefix":"/a/","route_kind":"safe","timeout_ms":800,
   "slo_ms":600,"max_attempts":2,"service":"s"},
  {"name":"r2","hostname":"h.example","path_prefix":"/a/b/","route_kind":"unsafe",
   "timeout_ms":900,"split":[{"service":"s","weight":1},{"service":"t","weight":9}]}],
 "services":[{"name":"s","cold_s":3,"cold_per_s":5},{"name":"t"}],
 "limits":{"max_header_bytes":100,"max_body_bytes":100},
 "tenants":[{"name":"a","api_keys":["k1"]},{"name":"b","api_keys":["k2"]}]})";

ListedConfiguration decode(const std::string &text)
{
    auto decoded = platform::decodeListedConfiguration(text);
    REQUIRE(std::holds_alternative<ListedConfiguration>(decoded));
    return std::get<ListedConfiguration>(std::move(decoded));
}

ListedConfiguration changed(const std::string &from, const std::string &to)
{
    std::string text = soundConfiguration;
    const std::size_t found = text.find(from);
    REQUIRE(found != std::string::npos);
    return decode(text.replace(found, from.size(), to));
}

/// Formats findings as "kind path subject other", one per line.
std::string toText(const std::vector<Finding> &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        CHECK_FALSE(describe(finding).empty());
        text.append(text.empty() ? "" : "\n").append(toName(finding.kind));
        text.append(finding.place ? ' ' + platform::fieldPath(*finding.place) : "");
        for (const std::string &part : {finding.subject, finding.other})
            text.append(part.empty() ? "" : ' ' + part);
    }
    return text;
}

std::string findingsOf(const ListedConfiguration &configuration)
{
    std::vector<Finding> findings = checkEntries(configuration);
    for (const Finding &finding : checkLimits(configuration))
        findings.push_back(finding);
    return toText(findings);
}

} // namespace

// Guards against a mistake that is not found, and against a finding at the wrong place.
TEST_CASE("configuration check, one mistake of each kind, finds only this one")
{
    CHECK(findingsOf(decode(soundConfiguration)).empty());
    CHECK(findingsOf(decode(R"({"version":1})")).empty());
    // Routers accept requests with these.
    CHECK(findingsOf(changed(R"("k2")", R"(" k\t2")")).empty());
    CHECK(findingsOf(changed("/a/b/", "http://h.example/")).empty());
    struct Case
    {
        std::string from;
        std::string to;
        std::string finding;
    };
    const std::vector<Case> cases{
            {"/a/b/", "/a/", "route-shadowed routes[1].path_prefix r2 r1"},
            {"/a/b/", "a", "route-unreachable routes[1].path_prefix r2 a"},
            {"/a/b/", "/a?b", "route-unreachable routes[1].path_prefix r2 /a?b"},
            {"h.example", "h:80", "route-unreachable routes[0].hostname r1 h:80"},
            {R"("r2")", R"("r1")", "duplicate-route routes[1].name r1"},
            {R"("service":"s"})", R"("service":"x"})", "service-unknown routes[0].service r1 x"},
            {R"("service":"t")", R"("service":"x")",
             "service-unknown routes[1].split[1].service r2 x\n"
             "service-without-route services[1].name t"},
            {R"("weight":1})", R"("weight":0.9})",
             "share-without-requests routes[1].split[0].service r2 s"},
            {R"({"name":"t"})", R"({"name":"t"},{"name":"u"})",
             "service-without-route services[2].name u"},
            {R"({"name":"t"})", R"({"name":"t"},{"name":"t"})",
             "duplicate-service services[2].name t"},
            {R"("k2")", "", "account-without-keys tenants[1].name b"},
            {R"(["k2"])", R"(["k2","k1"])", "key-of-two-accounts tenants[0].api_keys[0] a b"},
            {R"("k2")", R"("k2","")", "key-empty tenants[1].api_keys[1] b"},
            {R"("k2")", R"("k2 ")", "key-unusable tenants[1].api_keys[0] b"},
            {R"("name":"b")", R"("name":"")", "key-without-account tenants[1].api_keys[0]"},
            {R"("name":"b")", R"("name":"a")", "duplicate-account tenants[1].name a"},
            {R"([{"name":"a","api_keys":["k1"]},{"name":"b","api_keys":["k2"]}])", "[]",
             "route-without-keys routes[0].public r1\nroute-without-keys routes[1].public r2"},
            {"800", "599", "timeout-below-objective routes[0].timeout_ms r1 600"},
            {R"("timeout_ms":900,)", "", "timeout-zero routes[1].timeout_ms r2"},
            {R"(body_bytes":100)", R"(body_bytes":99)",
             "body-limit-below-header-limit limits.max_body_bytes 100"},
            {R"(,"cold_per_s":5)", "", "warming-time-without-rate services[0].cold_s s"},
            {R"("cold_s":3,)", "", "warming-rate-without-time services[0].cold_per_s s"}};
    for (const Case &mistake : cases) {
        CAPTURE(mistake.from, mistake.to);
        CHECK(findingsOf(changed(mistake.from, mistake.to)) == mistake.finding);
    }
}

// Guards against output that grows with the product of a name's length and the number of findings.
TEST_CASE("configuration check, long name and many findings, both are limited")
{
    ListedConfiguration configuration;
    const std::string prefix(1000, 'n');
    configuration.accounts = {{AccountId(prefix + '1'), 0, {"k", "k"}},
                              {AccountId(prefix + '2'), 0, {"k"}}};
    const std::vector<Finding> findings = checkEntries(configuration);
    REQUIRE(findings.size() == 2);
    CHECK(findings[0].kind == FindingKind::KeyOfTwoAccounts);
    CHECK(findings[0].subject.size() < 300);
    CHECK(findings[0].subject != findings[0].other);
    configuration.accounts[0].keys.assign(1000, "");
    CHECK(checkEntries(configuration).size() == 100);
}

// Guards against a shadowed route that routers would use, and the reverse.
TEST_CASE("configuration check, routes with prefixes of each other, agrees with the router")
{
    const std::string route =
            R"({"hostname":"h","route_kind":"safe","timeout_ms":1,"service":"s",)";
    const std::string text = R"({"version":1,"services":[{"name":"s"}],"routes":[)" + route
                             + R"("name":"1","path_prefix":"/"},)" + route
                             + R"("name":"2","path_prefix":"/a"},)" + route
                             + R"("name":"3","path_prefix":"/"},)" + route
                             + R"("name":"4","path_prefix":""}]})";
    CHECK(findingsOf(decode(text)) == "route-shadowed routes[2].path_prefix 3 1");
    const auto decoded = platform::decodeConfiguration(text);
    const auto &configuration = std::get<DirectConfiguration>(decoded);
    CHECK(selectRoute(configuration, "h", "/")->name == "1");
    CHECK(selectRoute(configuration, "h", "/a")->name == "2");
    CHECK(selectRoute(configuration, "h", "*")->name == "4");
}

// Guards against retries and hedges that the settings never allow.
TEST_CASE("configuration check, retry settings, are compared with the configuration")
{
    const auto check = [](const RetrySettings &settings) {
        return toText(checkAgainstSettings(decode(soundConfiguration), settings));
    };
    CHECK(check({0.2, 86, 0.2}).empty());
    CHECK(check({0, 1, 0}).empty());
    CHECK(check({0, 0, 0}) == "retries-without-budget routes[0].max_attempts r1 2");
    CHECK(check({0.01, 86, 0.02}) == "hedge-share-above-retry-ratio 0.02 0.01");
}
