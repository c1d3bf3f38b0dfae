#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace lovagecourse::test {

/// Outcome of one HTTP call.
struct HttpOutcome
{
    /// CURLcode; not 0 when the answer did not arrive whole.
    int curlCode = 0;
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    bool isWhole() const { return curlCode == 0; }
    /// Field "ran" of a refusal; empty when the answer is none.
    std::string ran() const;
    /// Last part of a refusal's "type".
    std::string refusal() const;
};

/// Makes a blocking HTTP call.
HttpOutcome call(const std::string &method, const std::string &url,
                 const std::vector<std::pair<std::string, std::string>> &headers,
                 const std::string &body,
                 std::chrono::milliseconds timeout = std::chrono::seconds(60));
/// GET of a JSON page; null when it can't be had.
nlohmann::json getJson(const std::string &url);
/// POST of JSON; true for a status below 300.
bool postJson(const std::string &url, const nlohmann::json &body);
/// Fresh UUID version 7; age moves its time to the past.
std::string makeUuid7(std::chrono::milliseconds age = std::chrono::milliseconds(0));

} // namespace lovagecourse::test
