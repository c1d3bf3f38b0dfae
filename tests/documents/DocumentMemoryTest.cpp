#include "agent/AnswerTokens.h"
#include "claims/ClaimEntry.h"
#include "configuration/ConfigurationStateMachine.h"
#include "core/HeapMeter.h"
#include "entry/RequestValidator.h"
#include "platform/ConfigurationDecoder.h"
#include "platform/LogAnswers.h"
#include "platform/StoreClient.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace lovagecourse;

namespace {

constexpr std::size_t recordBytes = 250'000;
constexpr std::size_t bodyBytes = 1'000'000;

/// A reader and documents for it; a value is put in the place of each '@'.
struct Reader
{
    const char *name;
    std::size_t valueBytes;
    std::vector<std::string> documents;
    /// Returns the highest use of memory while the text is read.
    std::function<std::size_t(const std::string &)> read;
};

template <class Call>
std::size_t peakOf(const Call &call)
{
    const test::HeapMeter meter;
    call();
    return meter.peak();
}

std::string repeated(std::string_view text, std::size_t bytes)
{
    std::string result;
    result.reserve(bytes + text.size());
    while (result.size() < bytes)
        result += text;
    return result;
}

/// Values that take far more memory as a tree than as text.
std::vector<std::string> largeTrees(std::size_t bytes)
{
    const std::string lists = repeated("[", bytes / 2);
    const std::string objects = repeated(R"({"a":)", bytes);
    return {lists + std::string(lists.size(), ']'), repeated("[", bytes),
            objects + "0" + std::string(objects.size() / 5, '}'), objects,
            "[" + repeated("[],", bytes) + "[]]"};
}

/// Validator with one account and one model service.
RequestValidator makeValidator()
{
    ConfigurationState state;
    ClientAccount account;
    account.name = AccountId("a");
    account.apiKeyDigests = {apiKeyDigest("k")};
    state.accounts.emplace(account.name, account);
    Service service;
    service.name = ServiceId("s");
    service.path = "/s";
    service.kind = ServiceKind::Model;
    state.services.emplace(service.name, service);
    RequestValidator validator{seconds(60)};
    validator.onConfiguration(state);
    return validator;
}

std::size_t peakOfChat(const std::string &body)
{
    static const RequestValidator validator = makeValidator();
    CallerRequest request;
    request.method = "POST";
    request.path = "/s";
    request.headers = {{"authorization", "Bearer k"}};
    request.body = body;
    return peakOf([&] { validator.validate(request, WallTime()); });
}

const std::vector<Reader> &readers()
{
    static const std::vector<Reader> all{
            {"configuration",
             recordBytes,
             {"@", R"({"version":@})", R"({"note":@})", R"({"routes":@})", R"({"routes":[@]})",
              R"({"routes":[{"split":@}]})", R"({"routes":[{"split":[@]}]})",
              R"({"services":[{"engine":@}]})", R"({"tenants":[{"api_keys":@}]})",
              R"({"limits":@})"},
             [](const std::string &text) {
                 return peakOf([&] { platform::decodeConfiguration(text); });
             }},
            {"server entry",
             recordBytes,
             {"@", R"({"note":@})", R"({"service":@})", R"({"version":@})", R"({"born":@})"},
             [](const std::string &text) {
                 return peakOf([&] { platform::decodeServerEntry("i-1", text); });
             }},
            {"page",
             recordBytes,
             {"@", R"({"note":@})", R"({"items":@,"end_offset":1})",
              R"({"items":[{"key":"k","value":@}],"end_offset":1})",
              "{\"note\":@,\"items\":[{\"key\":\"\xff\"}],\"end_offset\":1}"},
             [](const std::string &text) {
                 return peakOf([&] { platform::decodeKeyedPage(text, KeyedTopic::Servers); });
             }},
            {"first retained record",
             recordBytes,
             {"@", R"({"note":@})", R"({"first":@})"},
             [](const std::string &text) {
                 return peakOf([&] { platform::decodeFirstRetained(text); });
             }},
            {"log append",
             recordBytes,
             {"@", R"({"note":@})", R"({"offset":@})"},
             [](const std::string &text) { return peakOf([&] { parseAppend(text); }); }},
            {"log batch",
             recordBytes,
             {"@", R"({"note":@,"oldest":0,"next":1,"records":[]})",
              R"({"oldest":0,"next":1,"records":@})", R"({"oldest":0,"next":1,"records":[@]})",
              R"({"oldest":0,"next":1,"records":[{"time_ms":1,"offset":0,"id":"","body":@}]})"},
             [](const std::string &text) { return peakOf([&] { parseBatch(text); }); }},
            {"host list",
             recordBytes,
             {"@", R"({"note":@})", R"({"hosts":@})", R"({"hosts":[{"host":@}]})"},
             [](const std::string &text) { return peakOf([&] { parseHosts(text); }); }},
            {"state",
             recordBytes,
             {"@", R"({"note":@})", R"({"offset":1,"note":1,"accounts":@})",
              R"({"offset":1,"note":1,"accounts":[{"name":"a","share":1,"keys":@}]})"},
             [](const std::string &text) { return peakOf([&] { stateFromJson(text); }); }},
            {"record of the configuration",
             recordBytes,
             {"@", R"({"type":"note","toml":@})", R"({"type":"snapshot","state":@})",
              R"({"type":"other","state":{"orders":@}})"},
             [](const std::string &text) {
                 return peakOf([&] { parseConfigurationRecord(text); });
             }},
            {"claims",
             recordBytes,
             {"@", "[@]", R"([{"type":"start","note":@}])",
              R"([{"type":"outcome","status":1,"headers":@}])",
              R"([{"type":"outcome","status":1,"headers":[@]}])"},
             [](const std::string &text) { return peakOf([&] { decodeClaimEntries(text); }); }},
            {"token count of an answer",
             bodyBytes,
             {"@", R"({"choices":@})", R"({"usage":@})", R"({"usage":{"completion_tokens":@}})"},
             [](const std::string &text) { return peakOf([&] { completionTokens(text); }); }},
            {"chat",
             bodyBytes,
             {"@", R"({"model":"m","messages":@})", R"({"model":"m","messages":[@]})",
              R"({"model":"m","messages":[{"content":@}]})",
              R"({"model":"m","messages":[{"content":"c"},@]})",
              R"({"model":"m","messages":[],"max_tokens":@})"},
             peakOfChat},
    };
    return all;
}

} // namespace

// Guards against a tree of many times the size of the text, which takes the memory of the process
// and the time of its event loop.
TEST_CASE("document memory, deep and wide values, stays in proportion to the text")
{
    for (const Reader &reader : readers()) {
        const std::vector<std::string> values = largeTrees(reader.valueBytes);
        for (const std::string &document : reader.documents) {
            for (std::size_t i = 0; i < values.size(); ++i) {
                std::string text = document;
                text.replace(text.find('@'), 1, values[i]);
                CAPTURE(reader.name, document, i);
                CHECK(reader.read(text) <= 4 * text.size() + 65536);
            }
        }
    }
}
