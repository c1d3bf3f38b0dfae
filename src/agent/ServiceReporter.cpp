#include "agent/ServiceReporter.h"

#include "core/Log.h"
#include "fairness/HomePlacement.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr milliseconds reportInterval{250};
constexpr double reportBytesPerSecond = 4096;
// A home that answers no reports for this long, for example after a network failure that closes no
// connection, is unresponsive; its flows get another home.
constexpr milliseconds homeTimeout{3000};
// Approximate sizes on the wire for names of usual length, used only for the byte budget.
constexpr double reportEntryBytes = 80;
constexpr double datagramBytes = 130;
constexpr std::size_t entriesPerDatagram = 12;
// The capacity is the highest work per second, which decays by this factor per report interval (to
// 30 % in a minute).
constexpr double capacityDecay = 0.995;

double secondsOf(milliseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ServiceReporter::ServiceReporter(Daemon &daemon, AccountLedger &ledger)
    : daemon_(daemon)
    , ledger_(ledger)
    , byteBudget_(reportBytesPerSecond)
    , timer_(daemon.loop(), [this] { report(); })
{
    timer_.startRepeating(reportInterval);
}

void ServiceReporter::onEntryUp(const DaemonId &entry, const Endpoint &datagramEndpoint)
{
    homes_[entry] = Home{datagramEndpoint, std::nullopt, false};
}

void ServiceReporter::onEntryDown(const DaemonId &entry)
{
    homes_.erase(entry);
}

void ServiceReporter::onTotals(const FairTotals &totals)
{
    const auto home = homes_.find(totals.home);
    if (home != homes_.end()) {
        home->second.unansweredSince.reset();
        home->second.unresponsive = false;
    }
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

std::vector<DaemonId> ServiceReporter::responsiveHomes()
{
    std::vector<DaemonId> responsive;
    for (auto &[entry, home] : homes_) {
        const bool isLate =
                home.unansweredSince && daemon_.now() - *home.unansweredSince >= homeTimeout;
        if (isLate && !home.unresponsive)
            logWarning(LogPart::Agent, "entry ", entry,
                       " does not answer service reports; its flows get another home");
        home.unresponsive = home.unresponsive || isLate;
        if (!home.unresponsive)
            responsive.push_back(entry);
        else
            send(entry, ServiceReport{daemon_.settings().name, daemon_.incarnation(), {}, {}, {}});
    }
    return responsive;
}

void ServiceReporter::send(const DaemonId &home, const ServiceReport &report)
{
    byteBudget_ -= datagramBytes + reportEntryBytes * static_cast<double>(report.entries.size());
    Home &target = homes_.at(home);
    if (!target.unansweredSince)
        target.unansweredSince = daemon_.now();
    daemon_.datagrams().send(daemon_.translateAddress(target.endpoint), report);
}

void ServiceReporter::report()
{
    updateCapacity();
    const double refill = reportBytesPerSecond * secondsOf(reportInterval);
    byteBudget_ = std::min(reportBytesPerSecond, byteBudget_ + refill);
    ledger_.expire(daemon_.now());
    const double maxEntries = std::max(0., byteBudget_ - datagramBytes) / reportEntryBytes;
    if (maxEntries < 1)
        return;
    const std::vector<DaemonId> responsive = responsiveHomes();
    if (responsive.empty())
        return;
    // Positions are comparable only within a service, so each report covers one service.
    using ReportKey = std::pair<DaemonId, ServiceId>;
    std::map<ReportKey, ServiceReport> reports;
    for (const ServiceReportEntry &entry :
         ledger_.reportsDue(daemon_.now(), static_cast<std::size_t>(maxEntries))) {
        const DaemonId home = *chooseHome(entry.flow, responsive);
        ServiceReport &report = reports[ReportKey(home, entry.flow.service)];
        report.agent = daemon_.settings().name;
        report.incarnation = daemon_.incarnation();
        report.virtualTime = ledger_.virtualTime(entry.flow.service);
        report.capacityPerSecond = capacityPerSecond_;
        report.entries.push_back(entry);
        if (report.entries.size() < entriesPerDatagram)
            continue;
        send(home, report);
        report.entries.clear();
    }
    for (auto &[key, report] : reports) {
        if (!report.entries.empty())
            send(key.first, report);
    }
}

} // namespace lovagecourse
