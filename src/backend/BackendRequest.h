#pragma once

#include "backend/EventStreamSplitter.h"
#include "http/HttpClient.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace lovagecourse {

/// Part of a backend server's answer; consists of complete events if it is an event stream.
struct AnswerPart
{
    /// Index of the first event in the whole stream.
    std::uint64_t firstEvent = 0;
    std::uint32_t eventCount = 0;
    /// The last event is "[DONE]", which ends the stream and carries no token.
    bool isDone = false;
    std::string bytes;
};

/// How a request at a backend server ended.
enum class BackendOutcome : std::uint8_t {
    /// The complete answer arrived.
    Complete,
    /// Only the end of the connection says that the answer is complete; a crash looks the same.
    Unproven,
    /// No byte of the request was sent; the server did not receive it.
    NotSent,
    /// The answer is incomplete; the server may have received the request.
    Broken,
    /// The transfer timed out; the server may have received the request.
    TimedOut
};

/// Request to a backend server with credit-based flow control: reading of the answer pauses when
/// the credit, in bytes, is used up.
class BackendRequest
{
public:
    struct Handlers
    {
        /// Called when the connection is ready, before any byte of the request is sent; may be
        /// empty.
        std::function<void()> onConnected;
        std::function<void(int status, const HeaderList &headers)> onHead;
        std::function<void(AnswerPart &&part)> onPart;
        std::function<void(BackendOutcome outcome)> onEnd;
    };

    /// Starts the request with an initial credit. When a stream is resumed, the server skips the
    /// first resumeFromEvent events.
    BackendRequest(HttpClient &http, const HttpRequest &request, std::uint64_t resumeFromEvent,
                   std::uint32_t credit, Handlers handlers);
    /// Cancels the request if it has not ended.
    ~BackendRequest();
    BackendRequest(const BackendRequest &) = delete;
    BackendRequest &operator=(const BackendRequest &) = delete;

    /// Adds credit and resumes reading if it was paused.
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
    bool endsWithConnection_ = false;
    bool receivedDone_ = false;
    bool ended_ = false;
};

} // namespace lovagecourse
