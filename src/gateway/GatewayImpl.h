#pragma once

#include "gateway/AddressShare.h"
#include "gateway/HttpGateway.h"
#include "gateway/PeerCloseWatcher.h"
#include "gateway/QuietConnections.h"
#include "gateway/RequestStream.h"

#include <microhttpd.h>

#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Value of Retry-After for a caller whose body finds no memory; spread so that callers do not
/// return together.
std::string memoryRetryAfter(CallerId caller);

/// Returns whether the peer has closed its sending side or the connection has failed, even if
/// received bytes are still unread.
bool hasPeerClosed(int descriptor);

/// Opens a non-blocking socket that listens at the endpoint.
std::variant<int, SocketFailure> openListenSocket(const Endpoint &endpoint);

/// State of a gateway and its libmicrohttpd callbacks. CallerListener.cpp accepts connections,
/// CallerExchange.cpp receives requests and sends answers, CallerBody.cpp bounds the memory of
/// bodies.
struct HttpGateway::Impl
{
    /// Request on a connection, from its request line until libmicrohttpd reports its completion.
    struct Exchange
    {
        Impl *gateway = nullptr;
        CallerRequest request;
        MHD_Connection *connection = nullptr;
        ClientAddress address = 0;
        std::size_t headerBytes = 0;
        /// Of the connection's memory pool, what the request's head occupies at most.
        std::size_t headPoolBytes = 0;
        /// What the head takes here and where it is forwarded.
        MemoryReservation headMemory;
        /// Received bytes of the body, as it arrives. Empty once the body is rejected.
        std::string body;
        MemoryReservation bodyMemory;
        /// Size of the body that was handed on with the request.
        std::size_t deliveredBytes = 0;

        /// Bytes that are kept for the request and its answer.
        std::size_t heldBytes() const
        {
            return bodyMemory.bytes() + deliveredBytes + answerBody.size() + unsentMemory.bytes();
        }
        std::size_t bodyBytes = 0;
        std::size_t announcedBodyBytes = 0;
        /// Largest body at the arrival of the head.
        std::size_t maxBodyBytes = 0;
        std::size_t discardedBytes = 0;
        /// When the caller last sent or read a progressStep.
        TimePoint lastProgress{};
        bool headersReceived = false;
        /// The rejection has been sent although the body has not ended; the rest is discarded and
        /// the connection closed.
        bool isBodyRejected = false;
        /// The head can't be trusted, so it is uncertain where the request ends; the connection is
        /// closed after the answer.
        bool isMalformed = false;
        bool requestDelivered = false;
        bool suspended = false;
        /// The caller closed the connection. If the request was delivered, onCallerLeft was queued.
        bool callerLeft = false;
        /// The answer is complete or aborted; the handler adds nothing to it.
        bool answerEnded = false;
        bool answerAborted = false;
        bool streaming = false;
        bool responseQueued = false;
        int status = 0;
        bool noBody = false;
        MHD_Response *response = nullptr;
        /// Buffered bytes of a streamed answer; libmicrohttpd has read those before unsentOffset.
        std::string unsent;
        std::size_t unsentOffset = 0;
        MemoryReservation unsentMemory;
        /// Body of a whole answer while it is sent; short bodies are copied by libmicrohttpd.
        SharedBody answerBody;
        std::size_t answerBytesRead = 0;
    };

    /// The caller's connection consumed bytes of a streamed answer.
    struct Consumed
    {
        CallerId caller;
        std::size_t bytes;
    };

    /// The caller closed its connection.
    struct CallerLeft
    {
        CallerId caller;
    };

    using Event = std::variant<CallerRequest, Consumed, CallerLeft>;

    /// An instance of libmicrohttpd, which has one idle timeout. A timeout per connection would
    /// make libmicrohttpd examine every idle connection in each run.
    struct Library
    {
        MHD_Daemon *daemon = nullptr;
        std::unique_ptr<IoWatcher> watcher;

        std::size_t connectionCount() const;
    };

    Impl(EventLoop &eventLoop, Metrics &gatewayMetrics, const GatewayLimits &gatewayLimits,
         Handlers gatewayHandlers)
        : loop(eventLoop)
        , metrics(gatewayMetrics)
        , limits(gatewayLimits)
        , handlers(std::move(gatewayHandlers))
        , peerCloseWatcher(loop, [this](std::uint64_t key) { onPeerClosed(CallerId(key)); })
        , timer(loop, [this] { run(); })
        , listenTimer(loop, [this] { resumeListening(); })
        , unreadTimer(loop, [this] { endUnreadStreams(); })
    {}

    ~Impl();
    bool start(int listenSocket);
    bool openLibrary();
    void closeUnusedLibraries();
    void stopListening();
    void watchListener(int listenSocket);
    void pauseListening();
    void resumeListening();
    void acceptConnections();
    void closeQuietConnections(std::size_t count);
    const char *dropReason(int descriptor, std::size_t acceptedAtOnce) const;
    void run();
    void runLibraries();
    void dispatch();
    void armTimer();

    static void *onRequestLine(void *self, const char *uri, MHD_Connection *connection);
    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *body,
                               std::size_t *bodyBytes, void **exchange);
    static MHD_Result onHeader(void *head, MHD_ValueKind kind, const char *name,
                               std::size_t nameBytes, const char *value, std::size_t valueBytes);
    static ssize_t onRead(void *exchange, std::uint64_t position, char *buffer, std::size_t size);
    static void onConnection(void *self, MHD_Connection *connection, void **context,
                             MHD_ConnectionNotificationCode code);
    static void onCompleted(void *self, MHD_Connection *connection, void **exchange,
                            MHD_RequestTerminationCode code);

    MHD_Result receiveHeaders(Exchange &exchange, const char *method, const char *version);
    bool reserveHead(Exchange &exchange, std::size_t fields);
    MHD_Result rejectMalformed(Exchange &exchange);
    RequestStream *streamOf(MHD_Connection *connection);
    static ssize_t onReadWhole(void *exchange, std::uint64_t position, char *buffer,
                               std::size_t size);

    MHD_Result beginBody(Exchange &exchange, std::size_t announcedBytes, bool expectsContinue);
    MHD_Result receiveBody(Exchange &exchange, std::string_view bytes);
    bool reserveBody(Exchange &exchange);
    void rejectBody(Exchange &exchange, RefusalReason reason);
    void endUnreadAnswer(Exchange &exchange);
    void endHeldBytes(Exchange &exchange);
    bool exceedsAddressShare(const Exchange &exchange, std::size_t additionalBytes) const;
    std::vector<AddressBytes> heldByAddress() const;
    void noteMemoryRefused(const Exchange &exchange);
    std::size_t boundOfAddress() const;
    void cutAddresses(std::size_t reservationBytes, std::size_t additionalBytes,
                      const Exchange &wanting);
    void endUnreadStreams();
    void relieveMemory(std::size_t reservationBytes, std::size_t additionalBytes,
                       const Exchange *except);
    ssize_t readWhole(Exchange &exchange, std::size_t position, char *buffer, std::size_t size);
    MHD_Result finishRequest(Exchange &exchange);
    MHD_Result queueAnswer(Exchange &exchange);
    ssize_t readUnsent(Exchange &exchange, char *buffer, std::size_t size);
    void prepareRefusal(Exchange &exchange, const Refusal &refusal);
    void onPeerClosed(CallerId caller);
    std::size_t connectionCount() const;
    bool isKeepAliveDisabled() const;
    std::size_t poolBytes() const;
    bool canSendHead(const Exchange &exchange, const HeaderList &headers) const;
    void scheduleRun();
    void resume(Exchange &exchange);
    Exchange *find(CallerId caller);
    /// Returns null if the request is unknown, its answer has ended or its caller left.
    Exchange *findOpen(CallerId caller);
    void setResponse(Exchange &exchange, int status, const HeaderList &headers,
                     MHD_Response *response);
    void prepareAnswer(Exchange &exchange, int status, const HeaderList &headers, SharedBody body);

    EventLoop &loop;
    Metrics &metrics;
    GatewayLimits limits;
    Handlers handlers;
    PeerCloseWatcher peerCloseWatcher;
    Timer timer;
    Timer listenTimer;
    /// Runs if the time that a stream may stay unread is limited.
    Timer unreadTimer;
    Endpoint endpoint;
    /// The last one gets new connections; earlier ones keep theirs until they close.
    std::vector<Library> libraries;
    int listener = -1;
    std::unique_ptr<IoWatcher> acceptWatcher;
    std::unordered_map<CallerId, std::unique_ptr<Exchange>> exchanges;
    /// Events for the handlers, which are called after libmicrohttpd has returned, so that they
    /// never re-enter it.
    std::vector<Event> events;
    QuietConnections quietConnections;
    /// What was received on each open connection, by descriptor.
    std::unordered_map<int, RequestStream> streams;
    std::uint64_t lastCaller = 0;
    bool stopping = false;
    bool closesAfterAnswers = false;
    std::size_t rejectedConnections = 0;
    /// The address that was last refused memory although it is within its bound.
    ClientAddress lastRefusedAddress = 0;
    std::optional<TimePoint> lastRefusedAt;
    /// When idle connections were last closed because memory was short.
    TimePoint idleClosedAt;
    /// Number of connections that may still be accepted; empty means no limit.
    std::optional<std::size_t> acceptAllowance;
    /// Number of connections to accept in one iteration of the event loop.
    std::size_t maxAcceptsAtOnce = std::numeric_limits<std::size_t>::max();
    /// Set to false by the destructor, because a handler may destroy the gateway.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lovagecourse
