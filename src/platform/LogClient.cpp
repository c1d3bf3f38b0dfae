#include "platform/LogClient.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <utility>

namespace lovagecourse {

namespace {

using nlohmann::json;

// Bounds the memory of one answer; a snapshot at the target size has about 4 MB.
constexpr std::size_t maxAnswerBytes = 16U << 20U;
// Catching up takes few round trips.
constexpr int maxRecordsPerRead = 256;
// Time for an answer on top of the wait that was asked for.
constexpr milliseconds answerTimeout{5000};

/// The answer is longer than the bound, so its content was dropped.
struct AnswerTooLong
{};

/// Whole answer, or why there is none.
using Answer = std::variant<std::string, PlatformFailure, AnswerTooLong>;

struct PendingAnswer
{
    int status = 0;
    std::string body;
    bool isTooLong = false;
};

PlatformFailure failureOfStatus(int status)
{
    // These two say "try again", unlike the other 4xx statuses.
    const bool isTemporary = status == 408 || status == 429;
    if (status >= 400 && status < 500 && !isTemporary)
        return PlatformRejected{status};
    if (status >= 200 && status < 400)
        return PlatformAnswerMalformed{};
    return PlatformUnavailable{status, 0};
}

Answer takeAnswer(PendingAnswer &pending, const std::optional<HttpFailure> &failure)
{
    if (failure)
        return PlatformFailure(PlatformUnavailable{0, failure->curlCode});
    if (pending.status != 200 && pending.status != 201)
        return failureOfStatus(pending.status);
    if (pending.isTooLong)
        return AnswerTooLong{};
    return std::move(pending.body);
}

void request(HttpClient &http, const HttpRequest &request, std::function<void(Answer)> onAnswer)
{
    auto pending = std::make_shared<PendingAnswer>();
    HttpClient::Handlers handlers;
    handlers.onHead = [pending](int status, const HeaderList &) { pending->status = status; };
    handlers.onData = [pending](std::string_view bytes) {
        pending->isTooLong =
                pending->isTooLong || pending->body.size() + bytes.size() > maxAnswerBytes;
        if (!pending->isTooLong)
            pending->body.append(bytes);
    };
    handlers.onDone = [pending,
                       onAnswer = std::move(onAnswer)](const std::optional<HttpFailure> &failure) {
        onAnswer(takeAnswer(*pending, failure));
    };
    http.start(request, std::move(handlers));
}

AppendResult parseAppend(const std::string &body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("offset") || !parsed["offset"].is_number_unsigned())
        return PlatformFailure(PlatformAnswerMalformed{});
    return LogOffset(parsed["offset"].get<std::uint64_t>());
}

LogRecord parseRecord(const json &record)
{
    const milliseconds time(record.at("time_ms").get<std::int64_t>());
    return {LogOffset(record.at("offset").get<std::uint64_t>()), record.at("id").get<std::string>(),
            WallTime(time), record.at("body").get<std::string>()};
}

/// False for a batch whose offsets don't increase or lie outside of [oldest, next).
bool hasValidOffsets(const LogBatch &batch)
{
    LogOffset least = batch.oldest;
    for (const LogRecord &record : batch.records) {
        if (record.offset < least || record.offset >= batch.next)
            return false;
        least = LogOffset(record.offset.value + 1);
    }
    return true;
}

ReadResult parseBatch(const std::string &body)
{
    // The checked accessors throw on a missing field or a wrong type.
    try {
        const json parsed = json::parse(body);
        LogBatch batch;
        batch.oldest = LogOffset(parsed.at("oldest").get<std::uint64_t>());
        batch.next = LogOffset(parsed.at("next").get<std::uint64_t>());
        for (const json &record : parsed.at("records"))
            batch.records.push_back(parseRecord(record));
        if (!hasValidOffsets(batch))
            return PlatformFailure(PlatformAnswerMalformed{});
        return batch;
    } catch (const json::exception &) {
        return PlatformFailure(PlatformAnswerMalformed{});
    }
}

HostListResult parseHosts(const std::string &body)
{
    try {
        const json parsed = json::parse(body);
        std::vector<HostEntry> hosts;
        for (const json &host : parsed.at("hosts"))
            hosts.push_back({HostId(host.at("host").get<std::string>()),
                             host.at("state").get<std::string>() == "leaving"});
        return hosts;
    } catch (const json::exception &) {
        return PlatformFailure(PlatformAnswerMalformed{});
    }
}

/// Passes a whole answer through the parser, and a failure on as it is.
template <class Result>
std::function<void(Answer)> parseInto(Result (*parse)(const std::string &),
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
    request(http_, post, parseInto(&parseAppend, std::move(onDone)));
}

void LogClient::read(const std::string &stream, LogOffset from, milliseconds wait,
                     std::function<void(const ReadResult &)> onDone)
{
    const auto get = [this, stream, from, wait](int maxRecords) {
        HttpRequest request;
        request.url =
                baseUrl_ + "/streams/" + stream + "/records?from=" + std::to_string(from.value)
                + "&wait_ms=" + std::to_string(wait.count()) + "&max=" + std::to_string(maxRecords);
        request.totalTimeout = wait + answerTimeout;
        return request;
    };
    const auto onAnswer = parseInto(&parseBatch, std::move(onDone));
    request(http_, get(maxRecordsPerRead), [this, get, onAnswer](const Answer &answer) {
        // Several snapshots in one batch may be too much; one record at a time always fits.
        if (std::holds_alternative<AnswerTooLong>(answer))
            request(http_, get(1), onAnswer);
        else
            onAnswer(answer);
    });
}

void LogClient::listHosts(std::function<void(const HostListResult &)> onDone)
{
    HttpRequest get;
    get.url = baseUrl_ + "/hosts";
    get.totalTimeout = answerTimeout;
    request(http_, get, parseInto(&parseHosts, std::move(onDone)));
}

} // namespace lovagecourse
