#include "gateway/HttpGateway.h"

#include "core/Log.h"
#include "gateway/GatewayImpl.h"
#include "gateway/Problem.h"
#include "gateway/ReadObserver.h"

#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <cstring>
#include <utility>

namespace lovagecourse {

namespace {

constexpr std::size_t streamBlockBytes = 16U << 10;
// Space in a connection's libmicrohttpd memory pool besides the request's headers.
constexpr std::size_t poolReserveBytes = 16U << 10;
constexpr milliseconds unreadCheckInterval{500};
// Status line, and the header lines that libmicrohttpd adds.
constexpr std::size_t addedHeadBytes = 512;
// The size of the request's part in the pool is an upper bound, so small heads are always tried.
constexpr std::size_t alwaysTriedHeadBytes = 2U << 10;
// Colon, space and line end of a header line.
constexpr std::size_t bytesPerLine = 4;
constexpr int lowestFinalStatus = 200;
constexpr int highestStatus = 599;

// Not forwarded to the caller; libmicrohttpd writes its own.
constexpr std::array<const char *, 9> hopByHopHeaders{
        "connection", "content-length", "keep-alive",        "proxy-connection",  "te",
        "trailer",    "upgrade",        "transfer-encoding", "proxy-authenticate"};

bool isHopByHop(const std::string &name)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(),
                       [&](const char *header) { return strcasecmp(name.c_str(), header) == 0; });
}

bool hasNoBody(const std::string &method, int status)
{
    return method == "HEAD" || status == MHD_HTTP_NO_CONTENT || status == MHD_HTTP_NOT_MODIFIED;
}

} // namespace

HttpGateway::Impl::~Impl()
{
    *alive = false;
    stopping = true;
    // libmicrohttpd aborts the process if it is stopped with suspended connections.
    for (auto &entry : exchanges)
        resume(*entry.second);
    stopListening();
    for (Library &library : libraries) {
        library.watcher.reset();
        MHD_stop_daemon(library.daemon);
    }
}

bool HttpGateway::Impl::start(int listenSocket)
{
    watchListener(listenSocket);
    if (limits.maxUnreadTime.count() > 0)
        unreadTimer.startRepeating(unreadCheckInterval);
    return openLibrary();
}

/// Opens an instance of libmicrohttpd for new connections, with the current idle timeout.
bool HttpGateway::Impl::openLibrary()
{
    Library library;
    library.daemon = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_NO_LISTEN_SOCKET, 0, nullptr,
            nullptr, &Impl::onAccess, this, MHD_OPTION_URI_LOG_CALLBACK, &Impl::onRequestLine, this,
            MHD_OPTION_NOTIFY_COMPLETED, &Impl::onCompleted, this, MHD_OPTION_NOTIFY_CONNECTION,
            &Impl::onConnection, this, MHD_OPTION_CONNECTION_MEMORY_LIMIT, poolBytes(),
            MHD_OPTION_CONNECTION_LIMIT, limits.maxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
            static_cast<unsigned>(limits.idleTimeout.count()), MHD_OPTION_STRICT_FOR_CLIENT, 1,
            MHD_OPTION_END);
    if (!library.daemon)
        return false;
    const MHD_DaemonInfo *info = MHD_get_daemon_info(library.daemon, MHD_DAEMON_INFO_EPOLL_FD);
    assert(info);
    library.watcher = std::make_unique<IoWatcher>(loop, info->epoll_fd, [this](int) { run(); });
    library.watcher->watch(EV_READ);
    libraries.push_back(std::move(library));
    armTimer();
    return true;
}

/// Memory pool of a connection, which holds the heads of its request and its answer.
std::size_t HttpGateway::Impl::poolBytes() const
{
    return 2 * limits.maxHeaderBytes + poolReserveBytes;
}

/// libmicrohttpd closes the connection without an answer if the head does not fit into the pool.
bool HttpGateway::Impl::canSendHead(const Exchange &exchange, const HeaderList &headers) const
{
    std::size_t bytes = addedHeadBytes;
    for (const auto &[name, value] : headers)
        bytes += name.size() + value.size() + bytesPerLine;
    return bytes <= alwaysTriedHeadBytes || exchange.headPoolBytes + bytes <= poolBytes();
}

/// Closes earlier instances whose connections are closed.
void HttpGateway::Impl::closeUnusedLibraries()
{
    while (libraries.size() > 1 && libraries.front().connectionCount() == 0) {
        libraries.front().watcher.reset();
        MHD_stop_daemon(libraries.front().daemon);
        libraries.erase(libraries.begin());
    }
}

void HttpGateway::Impl::run()
{
    const auto stillAlive = alive;
    runLibraries();
    closeUnusedLibraries();
    // Armed before the handlers are called, so that a handler that resumes a connection can
    // schedule an earlier run.
    armTimer();
    dispatch();
    if (*stillAlive && !events.empty())
        scheduleRun();
}

/// Reads what has arrived. Each connection's RequestStream sees the bytes before libmicrohttpd
/// parses them in place.
void HttpGateway::Impl::runLibraries()
{
    const ReadObserver observer([this](int descriptor, std::string_view bytes) {
        const auto stream = streams.find(descriptor);
        if (stream != streams.end())
            stream->second.receive(bytes);
    });
    for (const Library &library : libraries)
        MHD_run(library.daemon);
}

void HttpGateway::Impl::dispatch()
{
    const auto stillAlive = alive;
    std::vector<Event> due;
    due.swap(events);
    for (Event &event : due) {
        if (auto *request = std::get_if<CallerRequest>(&event))
            handlers.onRequest(std::move(*request));
        else if (const auto *consumed = std::get_if<Consumed>(&event))
            handlers.onConsumed(consumed->caller, consumed->bytes);
        else
            handlers.onCallerLeft(std::get<CallerLeft>(event).caller);
        if (!*stillAlive)
            return;
    }
    // Keeps the memory: there are events in nearly each run.
    due.clear();
    if (events.empty())
        events.swap(due);
}

void HttpGateway::Impl::armTimer()
{
    std::optional<milliseconds> next;
    for (const Library &library : libraries) {
        MHD_UNSIGNED_LONG_LONG timeout = 0;
        if (MHD_get_timeout(library.daemon, &timeout) == MHD_YES)
            next = std::min(next.value_or(milliseconds(timeout)), milliseconds(timeout));
    }
    if (next)
        timer.startOnce(*next);
    else
        timer.stop();
}

void HttpGateway::Impl::scheduleRun()
{
    timer.startOnce(std::chrono::nanoseconds(0));
}

std::size_t HttpGateway::Impl::Library::connectionCount() const
{
    const MHD_DaemonInfo *info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
    return info ? info->num_connections : 0;
}

std::size_t HttpGateway::Impl::connectionCount() const
{
    std::size_t count = 0;
    for (const Library &library : libraries)
        count += library.connectionCount();
    return count;
}

bool HttpGateway::Impl::isKeepAliveDisabled() const
{
    return acceptAllowance || connectionCount() > limits.maxKeepAliveConnections;
}

HttpGateway::Impl::Exchange *HttpGateway::Impl::find(CallerId caller)
{
    const auto found = exchanges.find(caller);
    return found == exchanges.end() ? nullptr : found->second.get();
}

HttpGateway::Impl::Exchange *HttpGateway::Impl::findOpen(CallerId caller)
{
    Exchange *exchange = find(caller);
    return exchange && !exchange->answerEnded && !exchange->callerLeft ? exchange : nullptr;
}

void HttpGateway::Impl::resume(Exchange &exchange)
{
    if (!exchange.suspended)
        return;
    exchange.suspended = false;
    MHD_resume_connection(exchange.connection);
    scheduleRun();
}

void HttpGateway::Impl::setResponse(Exchange &exchange, int status, const HeaderList &headers,
                                    MHD_Response *response)
{
    assert(response);
    // A backend server may send any number as status; libmicrohttpd accepts only final statuses.
    const bool valid = status >= lowestFinalStatus && status <= highestStatus;
    exchange.status = valid ? status : MHD_HTTP_BAD_GATEWAY;
    exchange.noBody = hasNoBody(exchange.request.method, exchange.status);
    exchange.response = response;
    bool closes = closesAfterAnswers || exchange.isMalformed || isKeepAliveDisabled();
    for (const auto &[name, value] : headers) {
        closes = closes || (name == "connection" && value == "close");
        // The headers of an answer whose status can't be sent would vouch for the status sent
        // instead.
        if (valid && !isHopByHop(name))
            MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (closes)
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
}

void HttpGateway::Impl::prepareAnswer(Exchange &exchange, int status, const HeaderList &headers,
                                      SharedBody body)
{
    if (!canSendHead(exchange, headers)) {
        metrics.count("lovagecourse_answer_heads_too_large_total");
        const Refusal refusal{RefusalReason::AnswerBroken, Ran::Unknown};
        return prepareAnswer(exchange, httpStatus(refusal.reason),
                             {{"content-type", problemMediaType}}, makeProblemBody(refusal));
    }
    exchange.answerEnded = true;
    if (body.size() > streamBlockBytes) {
        exchange.answerBody = std::move(body);
        exchange.lastProgress = std::chrono::steady_clock::now();
        return setResponse(exchange, status, headers,
                           MHD_create_response_from_callback(exchange.answerBody.size(),
                                                             streamBlockBytes, &Impl::onReadWhole,
                                                             &exchange, nullptr));
    }
    // libmicrohttpd copies the buffer and does not write to it.
    void *bytes = const_cast<char *>(body.str().data());
    setResponse(exchange, status, headers,
                MHD_create_response_from_buffer(body.size(), bytes, MHD_RESPMEM_MUST_COPY));
}

HttpGateway::HttpGateway(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl))
{}

HttpGateway::~HttpGateway() = default;

std::variant<std::unique_ptr<HttpGateway>, SocketFailure>
HttpGateway::open(EventLoop &loop, Metrics &metrics, const Endpoint &endpoint,
                  const GatewayLimits &limits, Handlers handlers)
{
    const auto socket = openListenSocket(endpoint);
    if (const auto *failure = std::get_if<SocketFailure>(&socket))
        return *failure;
    auto impl = std::make_unique<Impl>(loop, metrics, limits, std::move(handlers));
    impl->endpoint = endpoint;
    if (!impl->start(std::get<int>(socket)))
        return SocketFailure{errno};
    return std::unique_ptr<HttpGateway>(new HttpGateway(std::move(impl)));
}

bool HttpGateway::canSendHead(CallerId caller, const HeaderList &headers) const
{
    const Impl::Exchange *exchange = impl_->find(caller);
    return !exchange || impl_->canSendHead(*exchange, headers);
}

void HttpGateway::answer(CallerId caller, int status, const HeaderList &headers, SharedBody body)
{
    Impl::Exchange *exchange = impl_->findOpen(caller);
    if (!exchange || exchange->streaming)
        return;
    impl_->prepareAnswer(*exchange, status, headers, std::move(body));
    impl_->resume(*exchange);
}

void HttpGateway::refuse(CallerId caller, const Refusal &refusal)
{
    impl_->metrics.count("lovagecourse_refusals_total", toString(refusal.reason));
    HeaderList headers{{"content-type", problemMediaType}};
    if (refusal.reason == RefusalReason::MemoryShort)
        headers.emplace_back("retry-after", memoryRetryAfter(caller));
    answer(caller, httpStatus(refusal.reason), headers, makeProblemBody(refusal));
}

void HttpGateway::beginStream(CallerId caller, int status, const HeaderList &headers)
{
    Impl::Exchange *exchange = impl_->findOpen(caller);
    if (!exchange || exchange->streaming)
        return;
    exchange->streaming = true;
    impl_->setResponse(*exchange, status, headers,
                       MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes,
                                                         &Impl::onRead, exchange, nullptr));
    // For an answer without a body, libmicrohttpd does not call onRead and would complete the
    // answer at once, before the handler has ended it.
    if (!exchange->noBody)
        impl_->resume(*exchange);
}

void HttpGateway::sendData(CallerId caller, std::string_view bytes)
{
    Impl::Exchange *exchange = impl_->findOpen(caller);
    if (!exchange || !exchange->streaming || exchange->answerAborted || bytes.empty())
        return;
    if (exchange->noBody) {
        impl_->events.emplace_back(Impl::Consumed{caller, bytes.size()});
        impl_->scheduleRun();
        return;
    }
    if (exchange->unsent.empty())
        exchange->lastProgress = std::chrono::steady_clock::now();
    exchange->unsent.erase(0, exchange->unsentOffset);
    exchange->unsentOffset = 0;
    exchange->unsent.append(bytes);
    if (exchange->unsentMemory.bytes() == 0)
        exchange->unsentMemory =
                MemoryReservation(impl_->limits.memory, MemoryHolder::UnreadAnswers);
    exchange->unsentMemory.resize(exchange->unsent.size());
    impl_->resume(*exchange);
}

void HttpGateway::endStream(CallerId caller)
{
    Impl::Exchange *exchange = impl_->findOpen(caller);
    if (!exchange || !exchange->streaming)
        return;
    exchange->answerEnded = true;
    impl_->resume(*exchange);
}

void HttpGateway::abortStream(CallerId caller)
{
    Impl::Exchange *exchange = impl_->findOpen(caller);
    if (!exchange || !exchange->streaming)
        return;
    exchange->answerEnded = true;
    exchange->answerAborted = true;
    impl_->resume(*exchange);
}

void HttpGateway::closeAfterAnswers()
{
    impl_->closesAfterAnswers = true;
}

void HttpGateway::setIdleTimeout(seconds timeout)
{
    if (timeout == impl_->limits.idleTimeout)
        return;
    const seconds previous = std::exchange(impl_->limits.idleTimeout, timeout);
    if (impl_->openLibrary())
        return;
    impl_->limits.idleTimeout = previous;
    logError(LogPart::Gateway, "event=idle-timeout-unchanged seconds=", previous.count(),
             " wanted=", timeout.count());
}

void HttpGateway::setMaxBodyBytes(std::size_t bytes)
{
    impl_->limits.maxBodyBytes = bytes;
}

void HttpGateway::relieveMemory(std::size_t reservationBytes, std::size_t additionalBytes)
{
    impl_->relieveMemory(reservationBytes, additionalBytes, nullptr);
}

void HttpGateway::limitAccepts(std::size_t count)
{
    impl_->acceptAllowance = count;
}

void HttpGateway::unlimitAccepts()
{
    impl_->acceptAllowance.reset();
}

void HttpGateway::limitAcceptsAtOnce(std::size_t count)
{
    impl_->maxAcceptsAtOnce = count;
}

std::size_t HttpGateway::takeRejectedConnections()
{
    return std::exchange(impl_->rejectedConnections, 0);
}

bool HttpGateway::hasCallerLeft(CallerId caller) const
{
    const Impl::Exchange *exchange = impl_->find(caller);
    if (!exchange || !impl_->limits.dropHalfClosed)
        return false;
    const MHD_ConnectionInfo *info =
            MHD_get_connection_info(exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info && hasPeerClosed(info->connect_fd);
}

std::size_t HttpGateway::openRequests() const
{
    return impl_->exchanges.size();
}

std::size_t HttpGateway::openConnections() const
{
    return impl_->connectionCount();
}

void HttpGateway::stopListening()
{
    impl_->stopListening();
}

} // namespace lovagecourse
