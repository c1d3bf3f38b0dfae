#include "integration/HttpCall.h"

#include <curl/curl.h>

#include <algorithm>
#include <cstdio>
#include <mutex>
#include <random>

namespace lovagecourse::test {

namespace {

std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *user)
{
    static_cast<std::string *>(user)->append(data, size * count);
    return size * count;
}

std::size_t addHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    const std::string line(data, size * count);
    const std::size_t colon = line.find(": ");
    if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        auto &headers = *static_cast<std::map<std::string, std::string> *>(user);
        headers[name] = line.substr(colon + 2, line.find_last_not_of("\r\n") - colon - 1);
    }
    return size * count;
}

} // namespace

std::string HttpOutcome::ran() const
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    return json.is_object() ? json.value("ran", "") : "";
}

std::string HttpOutcome::refusal() const
{
    const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
    const std::string type = json.is_object() ? json.value("type", "") : "";
    return type.substr(type.rfind(':') + 1);
}

HttpOutcome call(const std::string &method, const std::string &url,
                 const std::vector<std::pair<std::string, std::string>> &headers,
                 const std::string &body, std::chrono::milliseconds timeout)
{
    static std::once_flag initialised;
    std::call_once(initialised, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
    HttpOutcome outcome;
    CURL *easy = curl_easy_init();
    curl_slist *lines = curl_slist_append(nullptr, "Expect:");
    for (const auto &[name, value] : headers)
        lines = curl_slist_append(lines, std::string(name).append(": ").append(value).c_str());
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &outcome.body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &addHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &outcome.headers);
    if (method == "POST") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
    }
    outcome.curlCode = curl_easy_perform(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    outcome.status = static_cast<int>(status);
    curl_slist_free_all(lines);
    curl_easy_cleanup(easy);
    return outcome;
}

nlohmann::json getJson(const std::string &url)
{
    const HttpOutcome outcome = call("GET", url, {}, "", std::chrono::seconds(5));
    if (!outcome.isComplete() || outcome.status != 200)
        return nullptr;
    const nlohmann::json json = nlohmann::json::parse(outcome.body, nullptr, false);
    return json.is_discarded() ? nlohmann::json() : json;
}

bool postJson(const std::string &url, const nlohmann::json &body)
{
    const HttpOutcome outcome = call("POST", url, {{"Content-Type", "application/json"}},
                                     body.dump(), std::chrono::seconds(5));
    return outcome.isComplete() && outcome.status < 300;
}

std::string makeUuid7(std::chrono::milliseconds age)
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock(mutex);
    const auto time = std::chrono::system_clock::now() - age;
    const auto milliseconds = static_cast<unsigned long long>(
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
    char text[80];
    std::snprintf(text, sizeof(text), "%08llx-%04llx-7%03llx-8%03llx-%012llx", milliseconds >> 16,
                  milliseconds & 0xffff, static_cast<unsigned long long>(random() & 0xfff),
                  static_cast<unsigned long long>(random() & 0xfff),
                  static_cast<unsigned long long>(random() & 0xffffffffffff));
    return text;
}

} // namespace lovagecourse::test
