#pragma once

#include "daemon/Daemon.h"
#include "fairness/AccountLedger.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

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
    /// Entry that sums positions.
    struct Home
    {
        Endpoint endpoint;
        /// First report that was sent after the last totals.
        std::optional<TimePoint> unansweredSince;
        bool silent = false;
    };

    void report();
    /// Entries that answer; those that don't get an empty report, which they answer once they can.
    std::vector<DaemonId> answeringHomes();
    void send(const DaemonId &home, const ServiceReport &report);
    void updateCapacity();

    Daemon &daemon_;
    AccountLedger &ledger_;
    std::map<DaemonId, Home> homes_;
    Work servedSinceReport_;
    Work capacityPerSecond_;
    double byteBudget_;
    Timer timer_;
};

} // namespace lovagecourse
