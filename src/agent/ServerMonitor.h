#pragma once

#include "agent/RestartWatch.h"
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
    using ProbeHandler = std::function<void(bool answered)>;

    ServerMonitor(Daemon &daemon, ChangeHandler onChange);

    /// Sets the server's address and probes it.
    void setAddress(const Endpoint &address);
    bool isUp() const { return up_; }
    /// Probes the server and calls the handler with the result. The result is that of a probe that
    /// was sent after the call, unless one that is already running fails.
    void probe(ProbeHandler onProbed);
    /// Latest ends of idle connections to the server.
    const std::vector<IdleEnd> &idleEnds() const { return restartWatch_.ends(); }

private:
    void startProbe();
    void onProbed(bool answered);

    Daemon &daemon_;
    ChangeHandler onChange_;
    std::optional<Endpoint> address_;
    /// Handlers of the running probe.
    std::vector<ProbeHandler> probeHandlers_;
    /// Handlers that were added after the running probe was sent.
    std::vector<ProbeHandler> laterHandlers_;
    RestartWatch restartWatch_;
    bool probing_ = false;
    bool up_ = false;
    Timer retryTimer_;
};

} // namespace lovagecourse
