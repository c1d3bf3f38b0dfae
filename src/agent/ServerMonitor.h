#pragma once

#include "daemon/Daemon.h"
#include "wire/Endpoint.h"

#include <functional>
#include <optional>

namespace lovagecourse {

/// Knows whether the backend server answers, and tells a crash from a single broken connection.
class ServerMonitor
{
public:
    using UpHandler = std::function<void(bool up)>;
    using ProbeHandler = std::function<void(bool answered)>;

    ServerMonitor(Daemon &daemon, UpHandler onUp);

    /// Sets the server's address and probes it.
    void setAddress(const Endpoint &address);
    bool isUp() const { return up_; }
    /// Probes at once; the handler gets the outcome. One probe runs at a time, and all that wait
    /// get its outcome.
    void probe(ProbeHandler onProbed);

private:
    void startProbe();
    void onProbed(bool answered);

    Daemon &daemon_;
    UpHandler onUp_;
    std::optional<Endpoint> address_;
    std::vector<ProbeHandler> waiting_;
    bool probing_ = false;
    bool up_ = false;
    Timer retry_;
};

} // namespace lovagecourse
