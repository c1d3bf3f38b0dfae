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
    void sendOrder(const ServerOrder &order, const Endpoint &address);

    Daemon &daemon_;
    ClaimJournal &journal_;
    ServerId server_;
    /// Newest fencing number that the server took or refused, per action.
    std::map<std::string, FencingNumber> settled_;
    bool sending_ = false;
    Timer retry_;
};

} // namespace lovagecourse
