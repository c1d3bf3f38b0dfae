#pragma once

#include "agent/RestartWatchPair.h"
#include "daemon/Daemon.h"
#include "wire/Endpoint.h"

#include <functional>
#include <optional>

namespace lovagecourse {

/// Health checks of the backend server: probes it on request, and every 500 ms while it is down.
/// Determines whether a broken connection means that the server crashed.
class ServerMonitor
{
public:
    /// Called when the server goes up or down.
    using ChangeHandler = std::function<void(bool up)>;
    using ProbeHandler = std::function<void(ProbeResult result)>;

    ServerMonitor(Daemon &daemon, ChangeHandler onChange);

    /// Sets the server's address and probes it.
    void setAddress(const Endpoint &address);
    bool isUp() const { return up_; }
    /// Probes the server and calls the handler with the result. The result is that of a probe that
    /// was sent after the call, unless one that is already running fails.
    void probe(ProbeHandler onProbed);
    /// Latest ends of idle connections to the server.
    std::vector<IdleEnd> idleEnds() const { return restartWatches_.ends(); }
    /// When the oldest open idle connection was established; empty if there is none.
    std::optional<TimePoint> oldestOpenIdle() const { return restartWatches_.oldestOpen(); }

private:
    void startProbe();
    void onProbeEnded(const std::optional<HttpFailure> &failure);
    void onProbed(ProbeResult result);

    Daemon &daemon_;
    ChangeHandler onChange_;
    std::optional<Endpoint> address_;
    /// Handlers of the running probe.
    std::vector<ProbeHandler> probeHandlers_;
    /// Handlers that were added after the running probe was sent.
    std::vector<ProbeHandler> laterHandlers_;
    RestartWatchPair restartWatches_;
    bool probing_ = false;
    /// Attempts of the running probe that ended without an answer or a refusal.
    int brokenAttempts_ = 0;
    bool up_ = false;
    Timer retryTimer_;
};

} // namespace lovagecourse
