#pragma once

#include "core/Clock.h"
#include "core/EventLoop.h"
#include "core/MemoryAccount.h"
#include "core/Metrics.h"
#include "core/Refusal.h"
#include "core/SharedBody.h"
#include "wire/Endpoint.h"
#include "wire/Link.h"
#include "wire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace lovagecourse {

/// Limits on callers' requests and connections.
struct GatewayLimits
{
    std::size_t maxBodyBytes = 1U << 20;
    std::size_t maxHeaderBytes = 16U << 10;
    unsigned maxConnections = 10000;
    /// Above this number of open connections, each answer closes its connection.
    unsigned maxKeepAliveConnections = 5000;
    seconds idleTimeout{60};
    /// Drops new connections and requests whose caller has closed its sending side. Only for
    /// callers that never half-close a connection while they wait for an answer.
    bool dropHalfClosed = false;
    /// A streamed answer of which its caller reads nothing for this long is ended; 0 means no
    /// limit.
    milliseconds maxUnreadTime{0};
    /// Part of the memory account that one client address may take while another one is refused
    /// memory.
    unsigned addressMemoryPercent = 50;
    /// Counts the bytes that are kept for callers; null means no limit. Must outlive the gateway
    /// and its requests' bodies.
    MemoryAccount *memory = nullptr;
};

/// Identifies a caller's request from its arrival to the end of its answer.
using CallerId = StrongId<struct CallerTag, std::uint64_t>;

/// A caller's completely received request.
struct CallerRequest
{
    CallerId id;
    std::string method;
    /// Path without the query.
    std::string path;
    /// Query including the '?'; empty if there is none.
    std::string query;
    /// Names in lower case.
    HeaderList headers;
    SharedBody body;
};

/// HTTP/1.1 server based on libmicrohttpd; runs in the event loop. Requests are buffered
/// completely, answers may be streamed.
class HttpGateway
{
public:
    struct Handlers
    {
        std::function<void(CallerRequest &&)> onRequest;
        /// The caller closed its connection before the answer ended.
        std::function<void(CallerId)> onCallerLeft;
        /// The caller's connection consumed this many bytes of a streamed answer.
        std::function<void(CallerId, std::size_t bytes)> onConsumed;
    };

    /// Listens at the endpoint; returns the socket error if that fails.
    static std::variant<std::unique_ptr<HttpGateway>, SocketFailure>
    open(EventLoop &loop, Metrics &metrics, const Endpoint &endpoint, const GatewayLimits &limits,
         Handlers handlers);
    ~HttpGateway();
    HttpGateway(const HttpGateway &) = delete;
    HttpGateway &operator=(const HttpGateway &) = delete;

    /// Returns whether the headers of an answer fit into the connection's memory.
    bool canSendHead(CallerId caller, const HeaderList &headers) const;
    /// Sends a complete answer; the header "connection: close" closes the connection after it.
    /// Sends status 502 instead if the headers don't fit into the connection's memory. Ignored if
    /// the caller has left, as are the calls below.
    void answer(CallerId caller, int status, const HeaderList &headers, SharedBody body);
    /// Answers with a problem document (application/problem+json with type, title, status and ran)
    /// and counts the reason in lovagecourse_refusals_total.
    void refuse(CallerId caller, const Refusal &refusal);
    /// Starts a streamed answer.
    void beginStream(CallerId caller, int status, const HeaderList &headers);
    void sendData(CallerId caller, std::string_view bytes);
    /// Completes a streamed answer.
    void endStream(CallerId caller);
    /// Aborts a streamed answer, so that the caller's HTTP client reports an error.
    void abortStream(CallerId caller);
    /// From now on, each answer closes its connection.
    void closeAfterAnswers();
    /// Sets the idle time after which a connection is closed; applies to connections that are
    /// accepted from now on.
    void setIdleTimeout(seconds timeout);
    /// Sets the largest body that is read; applies to requests whose head has not arrived yet.
    void setMaxBodyBytes(std::size_t bytes);
    /// Ends what callers hold without progress until the memory account has room for a reservation
    /// of this size that grows by additionalBytes, or nothing is left to end.
    void relieveMemory(std::size_t reservationBytes, std::size_t additionalBytes);
    /// Accepts this many connections until the next call and closes further ones unread, so that
    /// their callers can use another router at once. While limited, each answer closes its
    /// connection.
    void limitAccepts(std::size_t count);
    void unlimitAccepts();
    /// Of the connections that wait in one iteration of the event loop, accepts this many and
    /// closes the others unread.
    void limitAcceptsAtOnce(std::size_t count);
    /// Returns the number of connections rejected by these limits since the last call.
    std::size_t takeRejectedConnections();
    /// Returns whether the caller has closed its sending side, even if onCallerLeft has not been
    /// called yet. Always false unless dropHalfClosed is set.
    bool hasCallerLeft(CallerId caller) const;
    /// Number of requests that have begun to arrive and whose answer has not ended.
    std::size_t openRequests() const;
    /// Number of open connections, including idle ones.
    std::size_t openConnections() const;
    /// Closes the listening socket; open requests continue.
    void stopListening();

private:
    struct Impl;
    explicit HttpGateway(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
