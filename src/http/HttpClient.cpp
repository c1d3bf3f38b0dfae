#include "http/HttpClient.h"

#include "core/Ascii.h"
#include "http/ConnectionReuse.h"
#include "http/SocketTable.h"

#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

namespace {

constexpr long maxIdleConnections = 256;
// Per transfer. libcurl's defaults of 16 KB and 64 KB need much memory with hundreds of transfers.
constexpr long receiveBufferBytes = 8L << 10;
constexpr long sendBufferBytes = 16L << 10;
// Larger heads fail while the memory is full.
constexpr std::size_t usualHeadBytes = 16U << 10;

/// State of a transfer and its libcurl easy handle.
struct Transfer
{
    HttpTransferId id;
    CURL *easy = nullptr;
    curl_slist *headerLines = nullptr;
    SharedBody body;
    std::size_t bodyBytesRead = 0;
    int tcpUserTimeoutMs = 0;
    SocketTable *sockets = nullptr;
    curl_socket_t openedSocket = CURL_SOCKET_BAD;
    /// libcurl's own timeout would fail a transfer before its received bytes are read.
    std::unique_ptr<Timer> timeout;
    HttpClient::Handlers handlers;
    std::string method;
    /// Address and port as in the url.
    std::string authority;
    seconds maxIdleAge{0};
    ResponseHead head;
    std::optional<ResponseHeadFault> headFault;
    MemoryReservation memory;
    bool headDelivered = false;
    bool paused = false;
    bool cancelled = false;
    /// The kept connection had ended or carried bytes that no request has asked for, so nothing was
    /// sent on it.
    bool needsNewConnection = false;

    ~Transfer()
    {
        curl_slist_free_all(headerLines);
        curl_easy_cleanup(easy);
    }
};

/// Returns a header as libcurl takes it: it drops "name:", and sends "name;" without a value.
std::string headerLine(const std::string &name, const std::string &value)
{
    std::string line = name;
    return value.empty() ? line.append(";") : line.append(": ").append(value);
}

BodyFraming bodyFraming(const std::string &method, int status, const HeaderList &headers)
{
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    if (method == "HEAD" || status == noContent || status == notModified)
        return BodyFraming::Length;
    if (toLower(findHeader(headers, "transfer-encoding")).ends_with("chunked"))
        return BodyFraming::Chunked;
    return findHeader(headers, "content-length").empty() ? BodyFraming::ConnectionEnd
                                                         : BodyFraming::Length;
}

bool isReused(CURL *easy)
{
    long newConnections = 0;
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &newConnections);
    return newConnections == 0;
}

/// True when a request on a kept connection has got no byte of an answer in time.
bool provesSilence(const Transfer &transfer, CURLcode code)
{
    long systemError = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_OS_ERRNO, &systemError);
    const bool isTimeout = code == CURLE_OPERATION_TIMEDOUT || systemError == ETIMEDOUT;
    return isTimeout && transfer.head.bytes() == 0 && isReused(transfer.easy);
}

/// Returns whether libcurl failed because it does not accept a line of the head.
bool rejectsHead(CURLcode code)
{
    // The second code is that of a first line that is no status line, the third that of a line of
    // more than 100 KB.
    return code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL
           || code == CURLE_OUT_OF_MEMORY;
}

std::string authorityOf(const std::string &url)
{
    constexpr std::string_view scheme = "://";
    const std::size_t schemeEnd = url.find(scheme);
    const std::size_t begin = schemeEnd == std::string::npos ? 0 : schemeEnd + scheme.size();
    return url.substr(begin, url.find('/', begin) - begin);
}

void deliverHead(Transfer &transfer)
{
    if (transfer.headDelivered || transfer.cancelled)
        return;
    transfer.headDelivered = true;
    HttpHead head;
    head.status = transfer.head.status();
    head.headers = transfer.head.headers();
    head.framing = bodyFraming(transfer.method, head.status, head.headers);
    head.isConnectionReused = isReused(transfer.easy);
    if (transfer.handlers.onHead)
        transfer.handlers.onHead(head);
}

void decideReuse(const Transfer &transfer)
{
    const auto &namesRequest = transfer.handlers.mayReuseConnection;
    const HeaderList &headers = transfer.head.headers();
    ConnectionHistory history;
    history.framing = bodyFraming(transfer.method, transfer.head.status(), headers);
    history.namesRequest = !namesRequest || namesRequest(headers);
    history.isHeadLenient = transfer.head.isLenient();
    if (!mayReuse(history))
        curl_easy_setopt(transfer.easy, CURLOPT_FORBID_REUSE, 1L);
}

/// Reserves memory for what the head has grown by. Returns false if it is larger than usual and the
/// memory is full.
bool reserveHead(Transfer &transfer, std::size_t bytesBefore)
{
    const std::size_t headBytes = transfer.head.bytes();
    const std::size_t wanted = transfer.memory.bytes() + headBytes - bytesBefore;
    if (headBytes > usualHeadBytes)
        return transfer.memory.growTo(wanted) == ReserveResult::Reserved;
    transfer.memory.resize(wanted);
    return true;
}

std::size_t onHeaderLine(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    const std::string_view line(data, size * count);
    const bool wasWhole = transfer.head.isWhole();
    const std::size_t bytesBefore = transfer.head.bytes();
    transfer.headFault = transfer.head.addLine(line);
    if (!reserveHead(transfer, bytesBefore))
        transfer.headFault = ResponseHeadFault::TooLong;
    // Fails the transfer and closes its connection.
    if (transfer.headFault)
        return 0;
    if (!wasWhole && transfer.head.isWhole())
        decideReuse(transfer);
    return size * count;
}

std::size_t onReadBody(char *buffer, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    const std::size_t length =
            transfer.body.str().copy(buffer, size * count, transfer.bodyBytesRead);
    transfer.bodyBytesRead += length;
    return length;
}

/// Fails the transfer instead of a resend: libcurl rewinds the body only to send it again.
int rejectRewind(void *, curl_off_t, int)
{
    return CURL_SEEKFUNC_FAIL;
}

int onSocketOpen(void *user, curl_socket_t socket, curlsocktype)
{
    auto &transfer = *static_cast<Transfer *>(user);
    transfer.openedSocket = socket;
    if (transfer.tcpUserTimeoutMs > 0)
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &transfer.tcpUserTimeoutMs,
                   sizeof(transfer.tcpUserTimeoutMs));
    return CURL_SOCKOPT_OK;
}

int onSocketClose(void *user, curl_socket_t socket)
{
    static_cast<SocketTable *>(user)->remove(socket);
    return close(socket);
}

/// Returns whether a connection that was idle has nothing to read, not even its end.
bool isQuiet(const SocketTable &sockets, const ConnectionAddress &address)
{
    const auto socket = sockets.find(address);
    if (!socket)
        return false;
    char byte = 0;
    const ssize_t count = recv(*socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Returns whether bytes of the request were sent on an earlier connection: libcurl sends a request
/// again by itself if a kept connection ends before the first byte of the answer.
bool wasSentBefore(const Transfer &transfer)
{
    long requestBytes = 0;
    curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    return requestBytes > 0;
}

int onBeforeRequest(void *user, char *remoteIp, char *, int remotePort, int localPort)
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (transfer.cancelled)
        return CURL_PREREQFUNC_ABORT;
    // libcurl would take bytes that have arrived since the last answer for the answer to this
    // request.
    const ConnectionAddress address{remoteIp, remotePort, localPort};
    if (!isReused(transfer.easy)) {
        transfer.sockets->add(address, transfer.openedSocket);
    } else if (!isQuiet(*transfer.sockets, address)) {
        // A request that may have run is not started again; see finish().
        transfer.needsNewConnection = !wasSentBefore(transfer);
        return CURL_PREREQFUNC_ABORT;
    }
    const bool isWanted = !transfer.handlers.onConnected || transfer.handlers.onConnected();
    return isWanted ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

std::size_t onBodyBytes(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &transfer = *static_cast<Transfer *>(user);
    if (transfer.cancelled)
        return 0;
    if (transfer.paused)
        return CURL_WRITEFUNC_PAUSE;
    deliverHead(transfer);
    if (!transfer.cancelled && transfer.handlers.onData)
        transfer.handlers.onData(std::string_view(data, size * count));
    return transfer.cancelled ? 0 : size * count;
}

} // namespace

struct HttpClient::Impl
{
    Impl(EventLoop &eventLoop, EventPriority ioPriority, MemoryAccount *memoryAccount)
        : loop(eventLoop)
        , priority(ioPriority)
        , memory(memoryAccount)
        , timer(loop, [this] { runSocketAction(CURL_SOCKET_TIMEOUT, 0); })
        , destroyTimer(loop, [this] { destroyCancelled(); })
    {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        multi = curl_multi_init();
        curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &Impl::onSocket);
        curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &Impl::onTimer);
        curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
    }

    ~Impl()
    {
        for (auto &[id, transfer] : transfers)
            curl_multi_remove_handle(multi, transfer->easy);
        transfers.clear();
        curl_multi_cleanup(multi);
    }

    static int onSocket(CURL *, curl_socket_t socket, int what, void *user, void *)
    {
        static_cast<Impl *>(user)->watchSocket(socket, what);
        return 0;
    }

    static int onTimer(CURLM *, long timeoutMs, void *user)
    {
        auto &self = *static_cast<Impl *>(user);
        if (timeoutMs < 0)
            self.timer.stop();
        else
            self.timer.startOnce(milliseconds(timeoutMs));
        return 0;
    }

    void watchSocket(curl_socket_t socket, int what);
    void runSocketAction(curl_socket_t socket, int action);
    void collectDone();
    void finish(Transfer &transfer, CURLcode code);
    void restart(Transfer &transfer);
    void onTimeout(HttpTransferId id);
    void leaveIdleConnections(const Transfer &transfer);
    void destroyCancelled();

    EventLoop &loop;
    EventPriority priority;
    MemoryAccount *memory;
    CURLM *multi = nullptr;
    SocketTable sockets;
    Timer timer;
    /// Destroys cancelled transfers outside of libcurl's callbacks.
    Timer destroyTimer;
    std::unordered_map<curl_socket_t, std::unique_ptr<IoWatcher>> watchers;
    std::unordered_map<HttpTransferId, std::unique_ptr<Transfer>> transfers;
    /// Authorities whose idle connections may be silent; each timer ends when these are too old to
    /// be reused.
    std::unordered_map<std::string, std::unique_ptr<Timer>> unproved;
    std::uint64_t lastId = 0;
};

void HttpClient::Impl::watchSocket(curl_socket_t socket, int what)
{
    if (what == CURL_POLL_REMOVE) {
        watchers.erase(socket);
        return;
    }
    auto &watcher = watchers[socket];
    if (!watcher) {
        watcher = std::make_unique<IoWatcher>(
                loop, socket,
                [this, socket](int events) {
                    const int action = ((events & EV_READ) ? CURL_CSELECT_IN : 0)
                                       | ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);
                    runSocketAction(socket, action);
                },
                priority);
    }
    watcher->watch(((what & CURL_POLL_IN) ? EV_READ : 0) | ((what & CURL_POLL_OUT) ? EV_WRITE : 0));
}

void HttpClient::Impl::runSocketAction(curl_socket_t socket, int action)
{
    int running = 0;
    curl_multi_socket_action(multi, socket, action, &running);
    collectDone();
}

void HttpClient::Impl::collectDone()
{
    int messagesLeft = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &messagesLeft)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        void *user = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
        auto &transfer = *static_cast<Transfer *>(user);
        if (transfer.needsNewConnection && !transfer.cancelled)
            restart(transfer);
        else
            finish(transfer, message->data.result);
    }
}

/// Starts a transfer again of which no byte was sent.
void HttpClient::Impl::restart(Transfer &transfer)
{
    transfer.needsNewConnection = false;
    transfer.bodyBytesRead = 0;
    curl_multi_remove_handle(multi, transfer.easy);
    curl_easy_setopt(transfer.easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_multi_add_handle(multi, transfer.easy);
}

void HttpClient::Impl::finish(Transfer &transfer, CURLcode code)
{
    const auto found = transfers.find(transfer.id);
    assert(found != transfers.end());
    const std::unique_ptr<Transfer> owned = std::move(found->second);
    transfers.erase(found);
    std::optional<HttpFailure> failure;
    // libcurl takes a connection that ends inside the head for the end of an answer without a body.
    const bool isHeadRejected = rejectsHead(code) && !owned->head.isWhole();
    if (code == CURLE_OK && !owned->head.isWhole())
        code = CURLE_WEIRD_SERVER_REPLY;
    if (code == CURLE_OK) {
        deliverHead(*owned);
    } else {
        curl_off_t sentBytes = 0;
        long requestBytes = 0;
        curl_easy_getinfo(owned->easy, CURLINFO_SIZE_UPLOAD_T, &sentBytes);
        curl_easy_getinfo(owned->easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        if (provesSilence(*owned, code))
            leaveIdleConnections(*owned);
        const bool maybeSent = sentBytes > 0 || requestBytes > 0;
        if (maybeSent && isHeadRejected && !owned->headFault)
            owned->headFault = ResponseHeadFault::Unreadable;
        failure = HttpFailure{static_cast<int>(code), maybeSent, maybeSent && isReused(owned->easy),
                              owned->headFault};
    }
    curl_multi_remove_handle(multi, owned->easy);
    if (!owned->cancelled && owned->handlers.onDone)
        owned->handlers.onDone(failure);
}

void HttpClient::Impl::onTimeout(HttpTransferId id)
{
    const auto found = transfers.find(id);
    if (found != transfers.end() && !found->second->cancelled)
        finish(*found->second, CURLE_OPERATION_TIMEDOUT);
}

/// Makes further transfers use new connections until the idle ones are too old.
void HttpClient::Impl::leaveIdleConnections(const Transfer &transfer)
{
    // libcurl compares whole seconds.
    constexpr seconds rounding{1};
    std::unique_ptr<Timer> &timer = unproved[transfer.authority];
    if (!timer)
        timer = std::make_unique<Timer>(
                loop, [this, authority = transfer.authority] { unproved.erase(authority); });
    timer->startOnce(transfer.maxIdleAge + rounding);
}

void HttpClient::Impl::destroyCancelled()
{
    std::vector<HttpTransferId> cancelled;
    for (const auto &[id, transfer] : transfers) {
        if (transfer->cancelled)
            cancelled.push_back(id);
    }
    for (const HttpTransferId id : cancelled) {
        curl_multi_remove_handle(multi, transfers.at(id)->easy);
        transfers.erase(id);
    }
}

HttpClient::HttpClient(EventLoop &loop, EventPriority priority, MemoryAccount *memory)
    : impl_(std::make_unique<Impl>(loop, priority, memory))
{}

HttpClient::~HttpClient() = default;

HttpTransferId HttpClient::start(HttpRequest request, Handlers handlers)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->id = HttpTransferId(++impl_->lastId);
    transfer->easy = curl_easy_init();
    transfer->method = request.method;
    transfer->authority = authorityOf(request.url);
    transfer->maxIdleAge = request.maxIdleAge;
    transfer->body = std::move(request.body);
    transfer->handlers = std::move(handlers);
    transfer->memory = MemoryReservation(impl_->memory, MemoryHolder::ServerConnections);
    for (const auto &[name, value] : request.headers)
        transfer->headerLines =
                curl_slist_append(transfer->headerLines, headerLine(name, value).c_str());
    // Without this, libcurl waits for "100 Continue" before it sends larger bodies.
    transfer->headerLines = curl_slist_append(transfer->headerLines, "Expect:");
    if (request.onlyGivenHeaders) {
        for (const char *name : {"accept", "content-type"}) {
            if (findHeader(request.headers, name).empty())
                transfer->headerLines = curl_slist_append(transfer->headerLines,
                                                          std::string(name).append(":").c_str());
        }
    }

    CURL *easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, receiveBufferBytes);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, sendBufferBytes);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(request.connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headerLines);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &onHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBodyBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &onBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
    const bool isFresh = request.freshConnection || impl_->unproved.contains(transfer->authority);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, isFresh ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, request.freshConnection ? 1L : 0L);
    if (request.method == "HEAD") {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else if (!transfer->body.empty() || request.method == "POST") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(transfer->body.size()));
        if (request.sendBodyOnce) {
            curl_easy_setopt(easy, CURLOPT_READFUNCTION, &onReadBody);
            curl_easy_setopt(easy, CURLOPT_READDATA, transfer.get());
            curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, &rejectRewind);
        } else {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.str().c_str());
        }
    }
    if (!request.target.empty())
        curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request.target.c_str());
    transfer->tcpUserTimeoutMs = static_cast<int>(request.tcpUserTimeout.count());
    transfer->sockets = &impl_->sockets;
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &onSocketOpen);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &onSocketClose);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &impl_->sockets);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(request.maxIdleAge.count()));
    if (request.method != "HEAD")
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());

    const HttpTransferId id = transfer->id;
    if (request.totalTimeout.count() > 0) {
        transfer->timeout = std::make_unique<Timer>(
                impl_->loop, [impl = impl_.get(), id] { impl->onTimeout(id); }, EventPriority::Low);
        transfer->timeout->startOnce(request.totalTimeout);
    }
    impl_->transfers.emplace(id, std::move(transfer));
    curl_multi_add_handle(impl_->multi, easy);
    return id;
}

void HttpClient::cancel(HttpTransferId transfer)
{
    const auto found = impl_->transfers.find(transfer);
    if (found == impl_->transfers.end())
        return;
    found->second->cancelled = true;
    impl_->destroyTimer.startOnce(milliseconds(0));
}

void HttpClient::pause(HttpTransferId transfer)
{
    const auto found = impl_->transfers.find(transfer);
    if (found != impl_->transfers.end())
        found->second->paused = true;
}

void HttpClient::resume(HttpTransferId transfer)
{
    const auto found = impl_->transfers.find(transfer);
    if (found == impl_->transfers.end() || !found->second->paused)
        return;
    found->second->paused = false;
    curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
}

std::string_view toString(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::ConnectionEnd:
        return "connection-end";
    }
    return {};
}

std::string_view findHeader(const HeaderList &headers, std::string_view name)
{
    for (const auto &[headerName, value] : headers) {
        if (headerName == name)
            return value;
    }
    return {};
}

bool isEventStream(const HeaderList &headers)
{
    const std::string type = toLower(findHeader(headers, "content-type"));
    return trim(std::string_view(type).substr(0, type.find(';'))) == "text/event-stream";
}

} // namespace lovagecourse
