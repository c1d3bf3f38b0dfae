#include "agent/ServiceReporter.h"

#include "fairness/HomePlacement.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr milliseconds reportInterval{250};
constexpr double bytesPerSecond = 4096;
// Sizes on the wire with usual names; they only steer the budget.
constexpr double entryBytes = 80;
constexpr double datagramBytes = 130;
constexpr std::size_t entriesPerDatagram = 12;
// Capacity is the peak of the service per second, which decays within about a minute.
constexpr double capacityDecay = 0.995;

double secondsOf(milliseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ServiceReporter::ServiceReporter(Daemon &daemon, AccountLedger &ledger)
    : daemon_(daemon)
    , ledger_(ledger)
    , byteBudget_(bytesPerSecond)
    , timer_(daemon.loop(), [this] { report(); })
{
    timer_.startRepeating(reportInterval);
}

void ServiceReporter::onEntryUp(const DaemonId &entry, const Endpoint &datagramEndpoint)
{
    homes_[entry] = datagramEndpoint;
}

void ServiceReporter::onEntryDown(const DaemonId &entry)
{
    homes_.erase(entry);
}

void ServiceReporter::onTotals(const FairTotals &totals)
{
    if (totals.agentIncarnation == daemon_.incarnation())
        ledger_.applyTotals(totals, daemon_.now());
}

void ServiceReporter::onServed(Work work)
{
    servedSinceReport_ += work;
}

void ServiceReporter::updateCapacity()
{
    const double rate = servedSinceReport_.value / secondsOf(reportInterval);
    capacityPerSecond_ = Work(std::max(rate, capacityPerSecond_.value * capacityDecay));
    servedSinceReport_ = Work();
}

void ServiceReporter::report()
{
    updateCapacity();
    const double income = bytesPerSecond * secondsOf(reportInterval);
    byteBudget_ = std::min(bytesPerSecond, byteBudget_ + income);
    ledger_.expire(daemon_.now());
    const double affordable = std::max(0., byteBudget_ - datagramBytes) / entryBytes;
    if (homes_.empty() || affordable < 1)
        return;

    std::vector<DaemonId> live;
    for (const auto &[entry, endpoint] : homes_)
        live.push_back(entry);
    // Positions of different services do not compare, so each report is of one service.
    using ReportKey = std::pair<DaemonId, ServiceId>;
    std::map<ReportKey, ServiceReport> reports;
    const auto send = [this](const DaemonId &home, ServiceReport &report) {
        byteBudget_ -= datagramBytes + entryBytes * static_cast<double>(report.entries.size());
        daemon_.datagrams().send(daemon_.route(homes_.at(home)), report);
        report.entries.clear();
    };
    for (const ServiceReportEntry &entry :
         ledger_.reportsDue(daemon_.now(), static_cast<std::size_t>(affordable))) {
        const DaemonId home = *chooseHome(entry.flow, live);
        ServiceReport &report = reports[ReportKey(home, entry.flow.service)];
        report.agent = daemon_.settings().name;
        report.incarnation = daemon_.incarnation();
        report.virtualTime = ledger_.virtualTime(entry.flow.service);
        report.capacityPerSecond = capacityPerSecond_;
        report.entries.push_back(entry);
        if (report.entries.size() == entriesPerDatagram)
            send(home, report);
    }
    for (auto &[key, report] : reports) {
        if (!report.entries.empty())
            send(key.first, report);
    }
}

} // namespace lovagecourse
