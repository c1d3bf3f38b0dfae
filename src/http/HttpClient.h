#pragma once

#include "core/Clock.h"
#include "core/EventLoop.h"
#include "core/SharedBody.h"
#include "http/ResponseHead.h"
#include "wire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lovagecourse {

/// HTTP/1.1 request and the options of its transfer.
struct HttpRequest
{
    std::string method = "GET";
    std::string url;
    HeaderList headers;
    /// Shared with the caller; the transfer keeps no copy.
    SharedBody body;
    milliseconds connectTimeout{1000};
    /// Timeout of the whole transfer; 0 means none. Bytes that arrived in time are read first, also
    /// when this process is late.
    milliseconds totalTimeout{0};
    /// Uses a new connection for this request only. On a reused connection that turns out to be
    /// closed, libcurl sends the request again, which must not happen to a request that must not
    /// be retried.
    bool freshConnection = false;
    /// Request target, sent unchanged; if empty, it is taken from the url.
    std::string target;
    /// Fails instead of sending the body a second time when a reused connection turns out to be
    /// closed. Works only for requests with a body; others need freshConnection.
    bool sendBodyOnce = false;
    /// Time that sent bytes may stay unacknowledged by the peer's host before the connection fails
    /// (TCP_USER_TIMEOUT); 0 keeps the system's default.
    milliseconds tcpUserTimeout{0};
    /// Sends only the headers above, without libcurl's defaults for accept and content-type.
    bool onlyGivenHeaders = false;
    /// A connection that was idle for longer is not reused.
    seconds maxIdleAge{5};
};

/// Failure of a transfer that ended without a complete answer.
struct HttpFailure
{
    /// CURLcode that libcurl reported.
    int curlCode = 0;
    /// False only if no byte of the request was sent, usually because no connection was
    /// established.
    bool maybeSent = true;
    /// An earlier transfer has used the connection.
    bool isConnectionReused = false;
    /// Set if the server sent a head that is not used; its connection is closed.
    std::optional<ResponseHeadFault> headFault;
};

/// How the end of an answer's body is marked.
enum class BodyFraming : std::uint8_t {
    /// By its length; also answers that have no body.
    Length,
    Chunked,
    /// By the end of the connection, which looks the same when the server stops halfway.
    ConnectionEnd
};

std::string_view toString(BodyFraming framing);

/// Status line and headers of an answer.
struct HttpHead
{
    int status = 0;
    /// Names in lower case.
    HeaderList headers;
    BodyFraming framing = BodyFraming::Length;
    /// An earlier transfer has used the connection.
    bool isConnectionReused = false;
};

/// Identifies a running transfer.
using HttpTransferId = StrongId<struct HttpTransferTag, std::uint64_t>;

/// Asynchronous HTTP client based on libcurl's multi interface; runs in the event loop.
/// Connections are kept for further requests. One that has bytes to read before a request is sent
/// on it is closed, and the request uses a new one. When a request on a kept connection gets no
/// answer in time, the others to the same address may have gone silent with it, so all of them are
/// left unused.
class HttpClient
{
public:
    /// Callbacks of one transfer; onDone is called exactly once unless the transfer is cancelled.
    struct Handlers
    {
        /// Called when the connection is ready, before any byte of the request is sent. If it
        /// returns false, nothing is sent and the transfer fails.
        std::function<bool()> onConnected;
        /// Called when the head has arrived. If it returns false, the connection is closed after
        /// the answer.
        std::function<bool(const HeaderList &headers)> mayReuseConnection;
        /// Called before any data.
        std::function<void(const HttpHead &head)> onHead;
        std::function<void(std::string_view bytes)> onData;
        /// Called with no failure if the complete answer arrived.
        std::function<void(const std::optional<HttpFailure> &failure)> onDone;
    };

    /// priority: of reading answers and writing requests. memory: counts buffers and heads of
    /// transfers, without a limit; null means that they are not counted.
    explicit HttpClient(EventLoop &loop, EventPriority priority = EventPriority::Normal,
                        MemoryAccount *memory = nullptr);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    HttpTransferId start(HttpRequest request, Handlers handlers);
    /// Cancels a transfer and closes its connection; no further handler is called.
    void cancel(HttpTransferId transfer);
    /// Stops reading from the server until resume(); unknown ids are ignored.
    void pause(HttpTransferId transfer);
    void resume(HttpTransferId transfer);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Returns the value of a header by its lower-case name; empty if it is missing.
std::string_view findHeader(const HeaderList &headers, std::string_view name);
/// Returns whether the content type is that of an event stream, in any spelling.
bool isEventStream(const HeaderList &headers);

} // namespace lovagecourse
