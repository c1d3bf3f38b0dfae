#pragma once

#include "agent/ClaimJournal.h"
#include "configuration/ConfigurationState.h"
#include "daemon/Daemon.h"

#include <map>

namespace lovagecourse {

/// Gives the operators' orders to the agent's server, each with its fencing number.
class OrderSender
{
public:
    OrderSender(Daemon &daemon, ClaimJournal &journal, ServerId server);

    void onConfiguration(const ConfigurationState &state);

private:
    void sendDue();
    /// True when the order may be sent now; announces it otherwise.
    bool mayGive(const ServerOrder &order);
    void refresh();
    void sendOrder(const ServerOrder &order, const Endpoint &address);

    Daemon &daemon_;
    ClaimJournal &journal_;
    ServerId server_;
    /// Newest fencing number that the server took or refused, per action.
    std::map<std::string, FencingNumber> settled_;
    /// Order that was announced last.
    FencingNumber announced_;
    bool sending_ = false;
    /// Announces the last order again before its record expires from the log.
    Timer refresh_;
    Timer retry_;
};

} // namespace lovagecourse
