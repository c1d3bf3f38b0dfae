#include "agent/ServiceReporter.h"

#include "core/Log.h"
#include "fairness/HomePlacement.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr milliseconds reportInterval{250};
constexpr double bytesPerSecond = 4096;
// A home that was cut off without a closed connection loses its flows after this time.
constexpr milliseconds silenceTimeout{3000};
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
        home->second.silent = false;
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

std::vector<DaemonId> ServiceReporter::answeringHomes()
{
    std::vector<DaemonId> answering;
    for (auto &[entry, home] : homes_) {
        const bool isLate =
                home.unansweredSince && daemon_.now() - *home.unansweredSince >= silenceTimeout;
        if (isLate && !home.silent)
            logWarning(LogPart::Agent, "entry ", entry, " answers no reports; its flows move");
        home.silent = home.silent || isLate;
        if (!home.silent)
            answering.push_back(entry);
        else
            send(entry, ServiceReport{daemon_.settings().name, daemon_.incarnation(), {}, {}, {}});
    }
    return answering;
}

void ServiceReporter::send(const DaemonId &home, const ServiceReport &report)
{
    byteBudget_ -= datagramBytes + entryBytes * static_cast<double>(report.entries.size());
    Home &target = homes_.at(home);
    if (!target.unansweredSince)
        target.unansweredSince = daemon_.now();
    daemon_.datagrams().send(daemon_.translateAddress(target.endpoint), report);
}

void ServiceReporter::report()
{
    updateCapacity();
    const double income = bytesPerSecond * secondsOf(reportInterval);
    byteBudget_ = std::min(bytesPerSecond, byteBudget_ + income);
    ledger_.expire(daemon_.now());
    const double affordable = std::max(0., byteBudget_ - datagramBytes) / entryBytes;
    if (affordable < 1)
        return;
    const std::vector<DaemonId> live = answeringHomes();
    if (live.empty())
        return;
    // Positions of different services do not compare, so each report is of one service.
    using ReportKey = std::pair<DaemonId, ServiceId>;
    std::map<ReportKey, ServiceReport> reports;
    for (const ServiceReportEntry &entry :
         ledger_.reportsDue(daemon_.now(), static_cast<std::size_t>(affordable))) {
        const DaemonId home = *chooseHome(entry.flow, live);
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
