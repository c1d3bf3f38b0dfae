#pragma once

#include "core/Clock.h"
#include "core/EventLoop.h"
#include "routing/BreakEvidence.h"
#include "wire/Endpoint.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace lovagecourse {

/// Keeps a connection to the backend server open without sending a request. It ends with the
/// server's process, also when the next process listens before a probe is sent.
class RestartWatch
{
public:
    /// connectDelay is asked before each attempt to connect; the attempt is made that much later.
    RestartWatch(
            EventLoop &loop, const Clock &clock,
            std::function<milliseconds()> connectDelay = [] { return milliseconds(0); });
    ~RestartWatch();
    RestartWatch(const RestartWatch &) = delete;
    RestartWatch &operator=(const RestartWatch &) = delete;

    /// Connects to the address, and again when the connection ends. Does nothing if a connection to
    /// it exists or is being made.
    void watch(const Endpoint &address);
    /// Latest ends of connections that the server had accepted, the newest last.
    const std::vector<IdleEnd> &ends() const { return ends_; }
    /// When the open connection was established; empty if there is none or it has ended, also if
    /// that end was not handled yet.
    std::optional<TimePoint> openSince() const;
    /// When the current connection was started; empty if there is none.
    std::optional<TimePoint> startedAt() const;

private:
    void startAttempt();
    void connect();
    void disconnect();
    void retryLater();
    void onEvents(int events);

    EventLoop &loop_;
    const Clock &clock_;
    std::function<milliseconds()> connectDelay_;
    std::optional<Endpoint> address_;
    int descriptor_ = -1;
    bool isConnected_ = false;
    std::unique_ptr<IoWatcher> watcher_;
    Timer retryTimer_;
    milliseconds retryDelay_{0};
    TimePoint startedAt_;
    TimePoint establishedAt_;
    std::vector<IdleEnd> ends_;
};

} // namespace lovagecourse
