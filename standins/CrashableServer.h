#pragma once

#include "HttpServer.h"

#include <chrono>
#include <functional>

namespace lovagecourse {

/// HTTP server that crashes on demand and listens again after a restart time.
class CrashableServer
{
public:
    CrashableServer(EventLoop &loop, const sockaddr_in &address,
                    std::chrono::milliseconds restartTime, HttpServer::Handler handler);

    /// False when the address cannot be bound.
    bool start();
    /// Closes all connections for good; not to be called from a handler.
    void stop();
    /// Closes all connections and the listening socket in the next loop iteration.
    void crash();
    bool isCrashing() const { return crashing_; }
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
