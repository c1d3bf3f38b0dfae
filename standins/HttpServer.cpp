#include "HttpServer.h"

#include <vector>

namespace lovagecourse {

namespace {

constexpr unsigned maxConnections = 20000;
constexpr unsigned listenBacklog = 1024;
// libmicrohttpd does not poll suspended connections, so their sockets are checked periodically for
// peers that closed them.
constexpr std::chrono::milliseconds peerCheckInterval{50};
// Bounds the work in one event loop iteration, so that timers are not delayed.
constexpr int maxRunsPerIteration = 8;

} // namespace

HttpServer::HttpServer(EventLoop &loop, const sockaddr_in &address, Handler handler)
    : loop_(loop)
    , address_(address)
    , handler_(std::move(handler))
    , runTimer_(loop, [this] { runDue_ = true; })
    , peerCheckTimer_(loop, [this] { abortClosedPeers(); })
{
    ev_prepare_init(&prepare_, &HttpServer::onPrepare);
    prepare_.data = this;
    ev_prepare_start(loop_.handle(), &prepare_);
}

HttpServer::~HttpServer()
{
    stop();
    ev_prepare_stop(loop_.handle(), &prepare_);
}

bool HttpServer::start()
{
    daemon_ = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
                               &HttpServer::onAccess, this, MHD_OPTION_SOCK_ADDR,
                               reinterpret_cast<sockaddr *>(&address_), MHD_OPTION_CONNECTION_LIMIT,
                               maxConnections, MHD_OPTION_LISTEN_BACKLOG_SIZE, listenBacklog,
                               MHD_OPTION_NOTIFY_COMPLETED, &HttpServer::onCompleted, this,
                               MHD_OPTION_END);
    if (daemon_ == nullptr)
        return false;
    const auto *info = MHD_get_daemon_info(daemon_, MHD_DAEMON_INFO_EPOLL_FD);
    watcher_ = std::make_unique<IoWatcher>(loop_, info->epoll_fd, [this](int) { runDue_ = true; });
    watcher_->watch(EV_READ);
    peerCheckTimer_.startRepeating(peerCheckInterval);
    runDue_ = true;
    return true;
}

void HttpServer::stop()
{
    if (daemon_ == nullptr)
        return;
    watcher_.reset();
    runTimer_.stop();
    peerCheckTimer_.stop();
    // libmicrohttpd requires that no connection is suspended when it is stopped.
    const std::vector<HttpExchangePtr> open(exchanges_.begin(), exchanges_.end());
    for (const HttpExchangePtr &exchange : open)
        exchange->abort();
    MHD_stop_daemon(daemon_);
    daemon_ = nullptr;
    exchanges_.clear();
}

MHD_Result HttpServer::onAccess(void *self, MHD_Connection *connection, const char *url,
                                const char *method, const char *, const char *uploadData,
                                std::size_t *uploadSize, void **context)
{
    auto &server = *static_cast<HttpServer *>(self);
    if (*context == nullptr) {
        *context = server.createExchange(connection, method, url).get();
        return MHD_YES;
    }
    const HttpExchangePtr exchange = *server.exchanges_.find(
            HttpExchangePtr(HttpExchangePtr(), static_cast<HttpExchange *>(*context)));
    if (*uploadSize > 0) {
        exchange->body_.append(uploadData, *uploadSize);
        *uploadSize = 0;
        return MHD_YES;
    }
    return server.continueExchange(exchange);
}

HttpExchangePtr HttpServer::createExchange(MHD_Connection *connection, const char *method,
                                           const char *url)
{
    auto exchange = std::make_shared<HttpExchange>(connection, method, url);
    exchange->scheduleServerRun_ = [this] { runDue_ = true; };
    exchanges_.insert(exchange);
    return exchange;
}

MHD_Result HttpServer::continueExchange(const HttpExchangePtr &exchange)
{
    if (!exchange->dispatched_) {
        exchange->dispatched_ = true;
        handler_(exchange);
    }
    if (exchange->state_ != HttpExchange::State::Open)
        return exchange->queueAnswer();
    exchange->suspend();
    return MHD_YES;
}

void HttpServer::onCompleted(void *self, MHD_Connection *, void **context,
                             MHD_RequestTerminationCode)
{
    if (*context == nullptr)
        return;
    auto &server = *static_cast<HttpServer *>(self);
    const HttpExchangePtr key(HttpExchangePtr(), static_cast<HttpExchange *>(*context));
    *context = nullptr;
    const auto found = server.exchanges_.find(key);
    if (found == server.exchanges_.end())
        return;
    const auto node = server.exchanges_.extract(found);
    node.value()->onConnectionClosed();
}

void HttpServer::onPrepare(struct ev_loop *, ev_prepare *watcher, int)
{
    static_cast<HttpServer *>(watcher->data)->runDaemon();
}

void HttpServer::runDaemon()
{
    if (daemon_ == nullptr || !runDue_)
        return;
    MHD_UNSIGNED_LONG_LONG timeoutMs = 0;
    bool hasTimeout = true;
    for (int run = 0; runDue_ && run < maxRunsPerIteration; ++run) {
        runDue_ = false;
        MHD_run(daemon_);
        hasTimeout = MHD_get_timeout(daemon_, &timeoutMs) == MHD_YES;
        runDue_ = runDue_ || (hasTimeout && timeoutMs == 0);
    }
    if (runDue_)
        runTimer_.startOnce(std::chrono::nanoseconds(0));
    else if (hasTimeout)
        runTimer_.startOnce(std::chrono::milliseconds(timeoutMs));
}

void HttpServer::abortClosedPeers()
{
    const std::vector<HttpExchangePtr> open(exchanges_.begin(), exchanges_.end());
    for (const HttpExchangePtr &exchange : open) {
        if (exchange->suspended_ && exchange->hasPeerClosed())
            exchange->abort();
    }
}

} // namespace lovagecourse
