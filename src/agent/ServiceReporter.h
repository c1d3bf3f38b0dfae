#pragma once

#include "daemon/Daemon.h"
#include "fairness/AccountLedger.h"

#include <functional>
#include <map>

namespace lovagecourse {

/// Reports the agent's service to the homes of its flows and takes their totals.
class ServiceReporter
{
public:
    ServiceReporter(Daemon &daemon, AccountLedger &ledger);

    /// An entry's link came up or closed; only linked entries are homes for this agent.
    void onEntryUp(const DaemonId &entry, const Endpoint &datagramEndpoint);
    void onEntryDown(const DaemonId &entry);
    void onTotals(const FairTotals &totals);
    /// Counts service, for the capacity that reports name.
    void onServed(Work work);

private:
    void report();
    void updateCapacity();

    Daemon &daemon_;
    AccountLedger &ledger_;
    std::map<DaemonId, Endpoint> homes_;
    Work servedSinceReport_;
    Work capacityPerSecond_;
    double byteBudget_;
    Timer timer_;
};

} // namespace lovagecourse
