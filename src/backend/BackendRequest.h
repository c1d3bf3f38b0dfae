#pragma once

#include "backend/EventStreamSplitter.h"
#include "http/HttpClient.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lovagecourse {

/// Part of a server's answer; whole events when it is an event stream.
struct AnswerPart
{
    std::uint64_t firstEvent = 0;
    std::uint32_t eventCount = 0;
    /// The last event is the "[DONE]" that ends a stream; it carries no token.
    bool isDone = false;
    std::string bytes;
};

/// How a request at a backend server ended.
enum class BackendOutcome : std::uint8_t {
    /// The whole answer arrived.
    Complete,
    /// The connection was never made; the server did not get the request.
    NotSent,
    /// The connection broke after the request may have arrived.
    Broken,
    /// The transfer took longer than allowed.
    TimedOut
};

/// One request at the backend server, with back-pressure by credit.
class BackendRequest
{
public:
    struct Handlers
    {
        std::function<void(int status, const HeaderList &headers)> onHead;
        std::function<void(AnswerPart &&part)> onPart;
        std::function<void(BackendOutcome outcome)> onEnd;
    };

    /// Starts the request. credit: bytes of answer that may be passed on at first. For a stream
    /// that resumes, resumeFromEvent events are skipped by the server.
    BackendRequest(HttpClient &http, const HttpRequest &request, std::uint64_t resumeFromEvent,
                   std::uint32_t credit, Handlers handlers);
    /// Cancels the request when it has not ended.
    ~BackendRequest();
    BackendRequest(const BackendRequest &) = delete;
    BackendRequest &operator=(const BackendRequest &) = delete;

    /// Allows more bytes of answer.
    void addCredit(std::uint32_t bytes);

private:
    void onData(std::string_view bytes);
    void onDone(const std::optional<HttpFailure> &failure);

    HttpClient &http_;
    Handlers handlers_;
    HttpTransferId transfer_;
    EventStreamSplitter splitter_;
    std::uint64_t nextEvent_;
    std::int64_t credit_;
    bool isEventStream_ = false;
    bool sawDone_ = false;
    bool ended_ = false;
};

} // namespace lovagecourse
