#pragma once

#include "HttpServer.h"

#include <chrono>
#include <functional>

namespace lovagecourse {

/// HTTP server that simulates a process crash on demand and listens again after a restart time.
class CrashableServer
{
public:
    CrashableServer(EventLoop &loop, const sockaddr_in &address,
                    std::chrono::milliseconds restartTime, HttpServer::Handler handler);

    /// False when the address cannot be bound.
    bool start();
    /// Closes all connections and the listening socket without a restart; must not be called from a
    /// request handler.
    void stop();
    /// Closes all connections and the listening socket in the next event loop iteration and
    /// schedules the restart; no effect while a crash lasts.
    void crash();
    /// True from the crash until the server listens again.
    bool isCrashing() const { return crashing_; }
    /// Number of crashes so far.
    std::uint64_t crashes() const { return crashes_; }

private:
    void stopAndScheduleRestart();
    void restart();

    std::chrono::milliseconds restartTime_;
    HttpServer server_;
    Timer stopTimer_;
    Timer restartTimer_;
    bool crashing_ = false;
    std::uint64_t crashes_ = 0;
};

} // namespace lovagecourse
