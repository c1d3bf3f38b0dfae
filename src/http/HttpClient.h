#pragma once

#include "core/Clock.h"
#include "core/EventLoop.h"
#include "wire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lovagecourse {

/// One HTTP/1.1 request.
struct HttpRequest
{
    std::string method = "GET";
    std::string url;
    HeaderList headers;
    std::string body;
    milliseconds connectTimeout{1000};
    /// Limit for the whole transfer; 0 means none.
    milliseconds totalTimeout{0};
    /// Uses a connection of its own. libcurl repeats a request by itself when a reused connection
    /// turns out to be closed, which must not happen to a non-repeatable one.
    bool freshConnection = false;
    /// Target of the request line exactly as given; empty takes it from the url.
    std::string target;
    /// Fails rather than sends the body a second time when a reused connection turns out to be
    /// closed. Works for requests with a body; others need freshConnection for that.
    bool sendBodyOnce = false;
    /// Limit for bytes that the peer's host does not acknowledge; 0 leaves the system's default.
    milliseconds unacknowledgedLimit{0};
    /// Sends only the headers given here, not libcurl's defaults for accept and content-type.
    bool onlyGivenHeaders = false;
    /// A connection that was idle for longer is not used again; 0 leaves libcurl's default.
    seconds maxIdleAge{0};
};

/// A transfer that ended without a whole answer.
struct HttpFailure
{
    /// CURLcode of the failure.
    int curlCode = 0;
    /// False only when the connection was never made, so that no byte was sent.
    bool maybeSent = true;
};

/// One running transfer.
using HttpTransferId = StrongId<struct HttpTransferTag, std::uint64_t>;

/// HTTP client on libcurl multi in the event loop.
class HttpClient
{
public:
    /// Callbacks of one transfer; onDone comes exactly once unless the transfer is cancelled.
    struct Handlers
    {
        /// Status and headers, names in lower case.
        std::function<void(int status, const HeaderList &headers)> onHead;
        std::function<void(std::string_view bytes)> onData;
        /// Empty failure: the whole answer arrived.
        std::function<void(const std::optional<HttpFailure> &failure)> onDone;
    };

    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    HttpTransferId start(HttpRequest request, Handlers handlers);
    /// Ends a transfer and closes its connection; no handler is called any more.
    void cancel(HttpTransferId transfer);
    /// Stops reading from the server until resume(); unknown ids are ignored.
    void pause(HttpTransferId transfer);
    void resume(HttpTransferId transfer);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Value of a header by its lower-case name; empty when it is missing.
std::string_view findHeader(const HeaderList &headers, std::string_view name);

} // namespace lovagecourse
