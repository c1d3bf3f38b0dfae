#include "CrashableServer.h"

namespace lovagecourse {

namespace {

// Another process may briefly occupy the address after the restart time.
constexpr std::chrono::milliseconds bindRetryInterval{20};

} // namespace

CrashableServer::CrashableServer(EventLoop &loop, const sockaddr_in &address,
                                 std::chrono::milliseconds restartTime, HttpServer::Handler handler)
    : restartTime_(restartTime)
    , server_(loop, address, std::move(handler))
    , stopTimer_(loop, [this] { stopAndScheduleRestart(); })
    , restartTimer_(loop, [this] { restart(); })
{}

bool CrashableServer::start()
{
    return server_.start();
}

void CrashableServer::stop()
{
    stopTimer_.stop();
    restartTimer_.stop();
    server_.stop();
}

void CrashableServer::crash()
{
    if (crashing_)
        return;
    crashing_ = true;
    ++crashes_;
    // crash() is called from request handlers, in which the server must not be stopped.
    stopTimer_.startOnce(std::chrono::nanoseconds(0));
}

void CrashableServer::stopAndScheduleRestart()
{
    server_.stop();
    restartTimer_.startOnce(restartTime_);
}

void CrashableServer::restart()
{
    if (!server_.start()) {
        restartTimer_.startOnce(bindRetryInterval);
        return;
    }
    crashing_ = false;
}

} // namespace lovagecourse
