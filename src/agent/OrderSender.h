#pragma once

#include "agent/ClaimLogClient.h"
#include "configuration/ConfigurationState.h"
#include "daemon/Daemon.h"

#include <map>

namespace lovagecourse {

/// Sends the operators' orders (such as "load-model") to the agent's server over HTTP, each with
/// its fencing number. Announces each order in the claims log first, so that no incarnation of the
/// agent sends an older order after a newer one.
class OrderSender
{
public:
    OrderSender(Daemon &daemon, ClaimLogClient &claimLog, ServerId server);

    void onConfiguration(const ConfigurationState &state);

private:
    /// Sends the first order that the server has not handled yet.
    void sendDue();
    /// True when the order may be sent now; otherwise announces it and schedules a retry.
    bool maySend(const ServerOrder &order);
    /// Announces the last order again.
    void reannounce();
    void sendOrder(const ServerOrder &order, const Endpoint &address);

    Daemon &daemon_;
    ClaimLogClient &claimLog_;
    ServerId server_;
    /// Newest fencing number that the server accepted or rejected as outdated, per action.
    std::map<std::string, FencingNumber> newestHandled_;
    /// Fencing number of the last order that was announced; 0 before the first.
    FencingNumber lastAnnounced_;
    bool sending_ = false;
    /// Repeats the last announcement before its record expires from the log.
    Timer reannounceTimer_;
    Timer retryTimer_;
};

} // namespace lovagecourse
