#include "platform/LogClient.h"

#include "platform/LogAnswers.h"

#include <memory>
#include <optional>
#include <utility>

namespace lovagecourse {

namespace {

// Limits the memory for one answer; a snapshot at the target size takes about 4 MB.
constexpr std::size_t maxAnswerBytes = 16U << 20U;
// Large enough to catch up in few round trips.
constexpr int maxRecordsPerRead = 256;
// Timeout for an answer, in addition to the requested long-poll wait.
constexpr milliseconds answerTimeout{5000};

/// The answer exceeds maxAnswerBytes; its content was discarded.
struct AnswerTooLong
{};

/// Body of the complete answer, or the reason why there is none.
using Answer = std::variant<std::string, PlatformFailure, AnswerTooLong>;

struct PendingAnswer
{
    int status = 0;
    std::string body;
    bool isTooLong = false;
};

PlatformFailure failureForStatus(int status)
{
    // Request Timeout and Too Many Requests ask for a retry, unlike the other 4xx statuses.
    const bool isTemporary = status == 408 || status == 429;
    if (status >= 400 && status < 500 && !isTemporary)
        return PlatformRejected{status};
    if (status >= 200 && status < 400)
        return PlatformAnswerMalformed{};
    return PlatformUnavailable{status, 0};
}

Answer toAnswer(PendingAnswer &pending, const std::optional<HttpFailure> &failure)
{
    if (failure)
        return PlatformFailure(PlatformUnavailable{0, failure->curlCode});
    if (pending.status != 200 && pending.status != 201)
        return failureForStatus(pending.status);
    if (pending.isTooLong)
        return AnswerTooLong{};
    return std::move(pending.body);
}

void sendRequest(HttpClient &http, const HttpRequest &request, std::function<void(Answer)> onAnswer)
{
    auto pending = std::make_shared<PendingAnswer>();
    HttpClient::Handlers handlers;
    handlers.onHead = [pending](const HttpHead &head) { pending->status = head.status; };
    handlers.onData = [pending](std::string_view bytes) {
        pending->isTooLong =
                pending->isTooLong || pending->body.size() + bytes.size() > maxAnswerBytes;
        if (!pending->isTooLong)
            pending->body.append(bytes);
    };
    handlers.onDone = [pending,
                       onAnswer = std::move(onAnswer)](const std::optional<HttpFailure> &failure) {
        onAnswer(toAnswer(*pending, failure));
    };
    http.start(request, std::move(handlers));
}

/// Returns an answer handler that parses a complete answer and forwards a failure unchanged.
template <class Result>
std::function<void(Answer)> makeAnswerHandler(Result (*parse)(const std::string &),
                                              std::function<void(const Result &)> onDone)
{
    return [parse, onDone = std::move(onDone)](const Answer &answer) {
        if (const auto *failure = std::get_if<PlatformFailure>(&answer))
            onDone(*failure);
        else if (const auto *body = std::get_if<std::string>(&answer))
            onDone(parse(*body));
        else
            onDone(PlatformFailure(PlatformAnswerMalformed{}));
    };
}

} // namespace

LogClient::LogClient(HttpClient &http, std::string baseUrl)
    : http_(http)
    , baseUrl_(std::move(baseUrl))
{
    while (baseUrl_.ends_with('/'))
        baseUrl_.pop_back();
}

void LogClient::append(const std::string &stream, const std::string &recordId,
                       const std::string &body, milliseconds timeout,
                       std::function<void(const AppendResult &)> onDone)
{
    HttpRequest post;
    post.method = "POST";
    post.url = baseUrl_ + "/streams/" + stream + "/records";
    post.headers = {{"record-id", recordId}, {"content-type", "application/json"}};
    post.body = body;
    post.totalTimeout = timeout;
    sendRequest(http_, post, makeAnswerHandler(&parseAppend, std::move(onDone)));
}

void LogClient::read(const std::string &stream, LogOffset from, milliseconds wait,
                     std::function<void(const ReadResult &)> onDone)
{
    const auto get = [baseUrl = baseUrl_, stream, from, wait](int maxRecords) {
        HttpRequest request;
        request.url = baseUrl + "/streams/" + stream + "/records?from=" + std::to_string(from.value)
                      + "&wait_ms=" + std::to_string(wait.count())
                      + "&max=" + std::to_string(maxRecords);
        request.totalTimeout = wait + answerTimeout;
        return request;
    };
    const auto onAnswer = makeAnswerHandler(&parseBatch, std::move(onDone));
    sendRequest(http_, get(maxRecordsPerRead),
                [&http = http_, get, onAnswer](const Answer &answer) {
                    // Several snapshots in one batch may exceed maxAnswerBytes; a single record
                    // always fits.
                    if (std::holds_alternative<AnswerTooLong>(answer))
                        sendRequest(http, get(1), onAnswer);
                    else
                        onAnswer(answer);
                });
}

void LogClient::listHosts(std::function<void(const HostListResult &)> onDone)
{
    HttpRequest get;
    get.url = baseUrl_ + "/hosts";
    get.totalTimeout = answerTimeout;
    sendRequest(http_, get, makeAnswerHandler(&parseHosts, std::move(onDone)));
}

} // namespace lovagecourse
