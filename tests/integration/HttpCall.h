#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace lovagecourse::test {

/// Answer to an HTTP call, or its failure.
struct HttpOutcome
{
    /// CURLcode; not 0 if the answer is incomplete.
    int curlCode = 0;
    int status = 0;
    /// By name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    bool isComplete() const { return curlCode == 0; }
    /// Field "ran" of a refusal; empty for other answers.
    std::string ran() const;
    /// Reason of a refusal: the last part of its "type"; empty for other answers.
    std::string refusal() const;
};

/// Makes a blocking HTTP call.
HttpOutcome call(const std::string &method, const std::string &url,
                 const std::vector<std::pair<std::string, std::string>> &headers,
                 const std::string &body,
                 std::chrono::milliseconds timeout = std::chrono::seconds(60));
/// Gets a JSON page; null on failure.
nlohmann::json getJson(const std::string &url);
/// Posts JSON; true for a status below 300.
bool postJson(const std::string &url, const nlohmann::json &body);
/// Random UUID version 7 whose time stamp lies `age` in the past.
std::string makeUuid7(std::chrono::milliseconds age = std::chrono::milliseconds(0));

} // namespace lovagecourse::test
