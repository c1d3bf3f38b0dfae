#pragma once

#include "gateway/HangUpWatch.h"
#include "gateway/HttpGateway.h"

#include <microhttpd.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// The peer has closed its side, also when bytes that it sent before are unread.
bool hasHungUp(int descriptor);

/// State of a gateway and its libmicrohttpd callbacks.
struct HttpGateway::Impl
{
    /// One request on a connection, from its request line to libmicrohttpd's end of it.
    struct Exchange
    {
        Impl *gateway = nullptr;
        CallerRequest request;
        MHD_Connection *connection = nullptr;
        std::size_t headerBytes = 0;
        std::size_t bodyBytes = 0;
        bool headersSeen = false;
        bool tooLarge = false;
        /// The body's length is stated in more than one way, so what follows it is in doubt.
        bool isAmbiguous = false;
        bool delivered = false;
        bool suspended = false;
        /// The caller closed the connection and its handler was or is being told.
        bool left = false;
        /// The handler has nothing more to say.
        bool ended = false;
        bool aborted = false;
        bool streaming = false;
        bool queued = false;
        int status = 0;
        bool noBody = false;
        MHD_Response *response = nullptr;
        /// Bytes of a streamed answer that the connection has not taken.
        std::string unsent;
        std::size_t taken = 0;
    };

    /// The connection took bytes of a streamed answer.
    struct Consumed
    {
        CallerId caller;
        std::size_t bytes;
    };

    /// The caller closed its connection.
    struct Left
    {
        CallerId caller;
    };

    using Event = std::variant<CallerRequest, Consumed, Left>;

    Impl(EventLoop &eventLoop, Metrics &gatewayMetrics, const GatewayLimits &gatewayLimits,
         Handlers gatewayHandlers)
        : loop(eventLoop)
        , metrics(gatewayMetrics)
        , limits(gatewayLimits)
        , handlers(std::move(gatewayHandlers))
        , hangUps(loop, [this](std::uint64_t key) { onHangUp(CallerId(key)); })
        , timer(loop, [this] { run(); })
    {}

    ~Impl();
    bool start(int listenSocket);
    void stopListening();
    void acceptConnections();
    const char *dropReason(int descriptor) const;
    void run();
    void dispatch();
    void armTimer();

    static void *onRequestLine(void *self, const char *uri, MHD_Connection *connection);
    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *body,
                               std::size_t *bodyBytes, void **exchange);
    static MHD_Result onHeader(void *exchange, MHD_ValueKind kind, const char *name,
                               const char *value);
    static ssize_t onRead(void *exchange, std::uint64_t position, char *buffer, std::size_t size);
    static void onCompleted(void *self, MHD_Connection *connection, void **exchange,
                            MHD_RequestTerminationCode code);

    MHD_Result takeHeaders(Exchange &exchange, const char *method);
    void takeBody(Exchange &exchange, std::string_view bytes);
    MHD_Result takeEnd(Exchange &exchange);
    MHD_Result queueAnswer(Exchange &exchange);
    ssize_t takeUnsent(Exchange &exchange, char *buffer, std::size_t size);
    void prepareRefusal(Exchange &exchange, const Refusal &refusal);
    void onHangUp(CallerId caller);
    std::size_t connectionCount() const;
    bool isCrowded() const;
    void runSoon();
    void resume(Exchange &exchange);
    Exchange *find(CallerId caller);
    /// Null also when the answer has ended or the caller left.
    Exchange *findOpen(CallerId caller);
    void setResponse(Exchange &exchange, int status, const HeaderList &headers,
                     MHD_Response *response);
    void prepareAnswer(Exchange &exchange, int status, const HeaderList &headers,
                       const std::string &body);

    EventLoop &loop;
    Metrics &metrics;
    GatewayLimits limits;
    Handlers handlers;
    HangUpWatch hangUps;
    Timer timer;
    MHD_Daemon *daemon = nullptr;
    std::unique_ptr<IoWatcher> watcher;
    int listener = -1;
    std::unique_ptr<IoWatcher> acceptWatcher;
    std::unordered_map<CallerId, std::unique_ptr<Exchange>> exchanges;
    /// Handlers run after libmicrohttpd has returned, so that they never re-enter it.
    std::vector<Event> events;
    std::uint64_t lastCaller = 0;
    bool stopping = false;
    bool closesAfterAnswers = false;
    std::size_t turnedAway = 0;
    /// Connections that may still be taken; empty means no limit.
    std::optional<std::size_t> acceptAllowance;
    /// Set to false on destruction, which a handler may cause.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace lovagecourse
