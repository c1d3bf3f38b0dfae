#pragma once

#include "core/Clock.h"
#include "core/EventLoop.h"
#include "core/Metrics.h"
#include "core/Refusal.h"
#include "wire/Endpoint.h"
#include "wire/Link.h"
#include "wire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace lovagecourse {

/// Limits on what callers may send.
struct GatewayLimits
{
    std::size_t maxBodyBytes = 1U << 20;
    std::size_t maxHeaderBytes = 16U << 10;
    unsigned maxConnections = 10000;
    /// With more open connections than this, each answer ends its connection.
    unsigned maxKeptConnections = 5000;
    seconds idleTimeout{60};
    /// Drops a request unread when its caller has closed its sending side. Only for callers that
    /// never do so while they wait for an answer.
    bool dropHalfClosed = false;
};

/// One request of a caller, from its arrival to the end of its answer.
using CallerId = StrongId<struct CallerTag, std::uint64_t>;

/// A caller's request, read whole.
struct CallerRequest
{
    CallerId id;
    std::string method;
    /// Path without the query.
    std::string path;
    /// Query with its '?', or empty.
    std::string query;
    /// Names in lower case.
    HeaderList headers;
    std::string body;
};

/// HTTP/1.1 server on libmicrohttpd in the event loop.
class HttpGateway
{
public:
    struct Handlers
    {
        std::function<void(CallerRequest &&)> onRequest;
        /// The caller's connection closed before its answer ended.
        std::function<void(CallerId)> onCallerLeft;
        /// The connection took this many bytes of a streamed answer.
        std::function<void(CallerId, std::size_t bytes)> onConsumed;
    };

    /// A gateway, or why the address can't be used.
    static std::variant<std::unique_ptr<HttpGateway>, SocketFailure>
    open(EventLoop &loop, Metrics &metrics, const Endpoint &endpoint, const GatewayLimits &limits,
         Handlers handlers);
    ~HttpGateway();
    HttpGateway(const HttpGateway &) = delete;
    HttpGateway &operator=(const HttpGateway &) = delete;

    /// Whole answer at once; a header "connection: close" ends the connection behind it. Calls for
    /// callers that left are ignored, here and below.
    void answer(CallerId caller, int status, const HeaderList &headers, const std::string &body);
    /// Refusal as application/problem+json with type, title, status and ran; counts its reason in
    /// lovagecourse_refusals_total.
    void refuse(CallerId caller, const Refusal &refusal);
    /// Starts a streamed answer.
    void beginStream(CallerId caller, int status, const HeaderList &headers);
    void sendData(CallerId caller, std::string_view bytes);
    /// Ends a streamed answer as whole.
    void endStream(CallerId caller);
    /// Ends a streamed answer so that the caller's HTTP client reports an error.
    void abortStream(CallerId caller);
    /// From now on, each answer ends its connection.
    void closeAfterAnswers();
    /// Idle time after which a connection is closed; counts for connections from their next
    /// request on.
    void setIdleTimeout(seconds timeout);
    /// Takes this many connections until the next call and closes the others unread, so that their
    /// callers go elsewhere at once. While limited, each answer ends its connection.
    void limitAccepts(std::size_t count);
    void unlimitAccepts();
    /// Connections closed unread for that reason since the last call.
    std::size_t takeTurnedAway();
    /// The caller has closed its side already, even if its handler was not told yet. Always false
    /// for callers that may close their sending side early.
    bool hasLeft(CallerId caller) const;
    /// Requests that have begun to arrive and whose answer has not ended.
    std::size_t openRequests() const;
    /// Open connections, idle ones included.
    std::size_t openConnections() const;
    /// Closes the listening socket; open requests go on.
    void stopListening();

private:
    struct Impl;
    explicit HttpGateway(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
