#pragma once

#include "HttpExchange.h"
#include "core/EventLoop.h"

#include <netinet/in.h>

#include <functional>
#include <memory>
#include <unordered_set>

namespace lovagecourse {

/// HTTP server that runs libmicrohttpd in the event loop. It can be stopped and started again to
/// simulate a process crash.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpExchangePtr &)>;

    HttpServer(EventLoop &loop, const sockaddr_in &address, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// False when the address cannot be bound.
    bool start();
    /// Closes the listening socket and all connections; must not be called from a request handler.
    void stop();
    bool isRunning() const { return daemon_ != nullptr; }

private:
    static MHD_Result onAccess(void *self, MHD_Connection *connection, const char *url,
                               const char *method, const char *version, const char *uploadData,
                               std::size_t *uploadSize, void **context);
    static void onCompleted(void *self, MHD_Connection *connection, void **context,
                            MHD_RequestTerminationCode code);
    static void onPrepare(struct ev_loop *loop, ev_prepare *watcher, int events);

    HttpExchangePtr createExchange(MHD_Connection *connection, const char *method, const char *url);
    MHD_Result continueExchange(const HttpExchangePtr &exchange);
    void runDaemon();
    void abortClosedPeers();

    EventLoop &loop_;
    sockaddr_in address_;
    Handler handler_;
    MHD_Daemon *daemon_ = nullptr;
    std::unique_ptr<IoWatcher> watcher_;
    Timer runTimer_;
    Timer peerCheckTimer_;
    ev_prepare prepare_{};
    /// True when libmicrohttpd has work for the next event loop iteration.
    bool runDue_ = false;
    std::unordered_set<HttpExchangePtr> exchanges_;
};

} // namespace lovagecourse
