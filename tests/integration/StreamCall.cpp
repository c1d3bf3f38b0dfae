#include "integration/StreamCall.h"

#include "integration/Process.h"

#include <curl/curl.h>
#include <sys/socket.h>

namespace lovagecourse::test {

namespace {

// Small, so that a caller that stops reading blocks the entry's socket after few bytes.
constexpr int receiveBufferBytes = 64 << 10;
constexpr std::chrono::seconds callLimit{60};

} // namespace

StreamCall::StreamCall(std::string url, std::string body, std::vector<std::string> headers)
    : url_(std::move(url))
    , body_(std::move(body))
    , headers_(std::move(headers))
    , thread_([this] { run(); })
{}

StreamCall::~StreamCall()
{
    reading_ = true;
    if (thread_.joinable())
        thread_.join();
}

const HttpOutcome &StreamCall::outcome()
{
    if (thread_.joinable())
        thread_.join();
    return outcome_;
}

std::size_t StreamCall::onBytes(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &self = *static_cast<StreamCall *>(user);
    self.outcome_.body.append(data, size * count);
    self.received_ += size * count;
    waitUntil(callLimit, [&self] { return self.reading_.load(); });
    return size * count;
}

int StreamCall::onSocket(void *, int descriptor, int)
{
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    return CURL_SOCKOPT_OK;
}

void StreamCall::run()
{
    CURL *easy = curl_easy_init();
    curl_slist *lines = curl_slist_append(nullptr, "Expect:");
    for (const std::string &header : headers_)
        lines = curl_slist_append(lines, header.c_str());
    curl_easy_setopt(easy, CURLOPT_URL, url_.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, lines);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT, static_cast<long>(callLimit.count()));
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &onSocket);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body_.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body_.c_str());
    outcome_.curlCode = curl_easy_perform(easy);
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    outcome_.status = static_cast<int>(status);
    curl_slist_free_all(lines);
    curl_easy_cleanup(easy);
    ended_ = true;
}

} // namespace lovagecourse::test
