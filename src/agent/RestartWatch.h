#pragma once

#include "core/Clock.h"
#include "core/EventLoop.h"
#include "routing/BreakEvidence.h"
#include "wire/Endpoint.h"

#include <memory>
#include <optional>
#include <vector>

namespace lovagecourse {

/// Keeps a connection to the backend server open without sending a request. It ends with the
/// server's process, also when the next process listens before a probe is sent.
class RestartWatch
{
public:
    RestartWatch(EventLoop &loop, const Clock &clock);
    ~RestartWatch();
    RestartWatch(const RestartWatch &) = delete;
    RestartWatch &operator=(const RestartWatch &) = delete;

    /// Connects to the address, and again when the connection ends. Does nothing if a connection to
    /// it exists or is being made.
    void watch(const Endpoint &address);
    /// Latest ends of connections that the server had accepted, the newest last.
    const std::vector<IdleEnd> &ends() const { return ends_; }

private:
    void connect();
    void disconnect();
    void retryLater();
    void onEvents(int events);

    EventLoop &loop_;
    const Clock &clock_;
    std::optional<Endpoint> address_;
    int descriptor_ = -1;
    bool isConnected_ = false;
    std::unique_ptr<IoWatcher> watcher_;
    Timer retryTimer_;
    milliseconds retryDelay_{0};
    TimePoint establishedAt_;
    std::vector<IdleEnd> ends_;
};

} // namespace lovagecourse
