#pragma once

#include "daemon/Daemon.h"
#include "fairness/AccountLedger.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace lovagecourse {

/// Reports the service of each flow at this agent to the flow's home, the entry that aggregates it
/// over all agents, and applies the fleet-wide totals in the reply. Keeps within a byte budget.
class ServiceReporter
{
public:
    ServiceReporter(Daemon &daemon, AccountLedger &ledger);

    /// The link of an entry came up or closed. Only entries with a link are homes for this agent.
    void onEntryUp(const DaemonId &entry, const Endpoint &datagramEndpoint);
    void onEntryDown(const DaemonId &entry);
    void onTotals(const FairTotals &totals);
    /// Counts measured work, from which the server's capacity in reports is estimated.
    void onServed(Work work);

private:
    /// Entry that may be the home of flows.
    struct Home
    {
        Endpoint endpoint;
        /// When the first report after the last reply was sent.
        std::optional<TimePoint> unansweredSince;
        bool unresponsive = false;
    };

    void report();
    /// Entries that answer reports. Sends an empty report to each unresponsive entry, whose reply
    /// makes it responsive again.
    std::vector<DaemonId> responsiveHomes();
    void send(const DaemonId &home, const ServiceReport &report);
    void updateCapacity();

    Daemon &daemon_;
    AccountLedger &ledger_;
    std::map<DaemonId, Home> homes_;
    Work servedSinceReport_;
    Work capacityPerSecond_;
    /// Token bucket, in bytes.
    double byteBudget_;
    Timer timer_;
};

} // namespace lovagecourse
