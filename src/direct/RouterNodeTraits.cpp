#include "core/Log.h"
#include "direct/RouterNodeImpl.h"
#include "direct/TakeFirst.h"

namespace lovagecourse {

namespace {

// Collects what one crash of a server shows into few datagrams.
constexpr milliseconds traitReportDelay{5};
// Fit into one datagram of 1,400 bytes together.
constexpr std::size_t crashesPerReport = 36;
constexpr std::size_t clearsPerReport = 24;
// Bounds the reports of one crash. The traits of a request that crashes servers come again with the
// next one.
constexpr std::size_t maxUnreported = 1000;

} // namespace

CrashEvidence RouterNode::Impl::toEvidence(const TraitCrash &crash) const
{
    return CrashEvidence{crash.trait, crash.serverRun, ageMs(crash.sentAt), ageMs(crash.brokenAt)};
}

TraitCrash RouterNode::Impl::toCrash(const CrashEvidence &evidence) const
{
    return TraitCrash{evidence.trait, evidence.serverRun, timeOf(evidence.sentAgeMs),
                      timeOf(evidence.brokenAgeMs)};
}

/// This router has seen a crash that was not known.
void RouterNode::Impl::onTraitCrash(const TraitCrash &crash)
{
    const TimePoint now = clock.now();
    logInfo(LogPart::Routing, "event=trait-suspected trait=", crash.trait,
            " server_run=", crash.serverRun, " sent_ms_ago=", toMs(now - crash.sentAt),
            " rejected=", crashTraits.findRejected({crash.trait}, now).has_value());
    if (unreportedCrashes.size() < maxUnreported)
        unreportedCrashes.push_back(crash);
    scheduleTraitReport();
}

/// An answer that this router has seen clears a trait.
void RouterNode::Impl::onTraitCleared(TraitHash trait)
{
    logInfo(LogPart::Routing, "event=trait-cleared trait=", trait, " by=", settings.name);
    reportCleared(trait, clock.now());
}

void RouterNode::Impl::reportCleared(TraitHash trait, TimePoint clearedAt)
{
    if (unreportedClears.size() < maxUnreported)
        unreportedClears.emplace_back(trait, clearedAt);
    scheduleTraitReport();
}

void RouterNode::Impl::scheduleTraitReport()
{
    if (!traitReportTimer.isActive())
        traitReportTimer.startOnce(traitReportDelay);
}

void RouterNode::Impl::sendTraitReport()
{
    const std::vector<Endpoint> targets = fleetTargets();
    while (!unreportedCrashes.empty() || !unreportedClears.empty()) {
        CrashTraitReport report;
        for (const TraitCrash &crash : takeFirst(unreportedCrashes, crashesPerReport))
            report.crashes.push_back(toEvidence(crash));
        for (const auto &[trait, clearedAt] : takeFirst(unreportedClears, clearsPerReport))
            report.cleared.push_back(ClearedTrait{trait, ageMs(clearedAt)});
        datagramSocket->sendToAll(targets, report);
    }
}

/// Repeats what is known, for routers that have started since or have missed a report.
void RouterNode::Impl::sendKnownTraits(const std::vector<Endpoint> &targets)
{
    if (crashTraits.isEmpty())
        return;
    CrashTraitReport report;
    for (const TraitCrash &crash : crashTraits.crashes(clock.now(), crashesPerReport))
        report.crashes.push_back(toEvidence(crash));
    datagramSocket->sendToAll(targets, report);
}

void RouterNode::Impl::onMessage(const DaemonId &sender, CrashTraitReport &&report)
{
    const TimePoint now = clock.now();
    for (CrashEvidence &evidence : report.crashes) {
        const TraitCrash crash = toCrash(evidence);
        evidence = toEvidence(crash);
        const auto clearedAt = crashTraits.clearedAt(crash.trait);
        if (clearedAt && crash.brokenAt <= *clearedAt) {
            // The sender has missed the answer that clears the trait.
            reportCleared(crash.trait, *clearedAt);
        } else if (crashTraits.onCrash(crash, now)
                   && crashTraits.findRejected({crash.trait}, now)) {
            logInfo(LogPart::Routing, "event=trait-rejected trait=", crash.trait,
                    " server_run=", crash.serverRun, " by=", sender,
                    " broken_ms_ago=", toMs(now - crash.brokenAt));
        }
    }
    for (ClearedTrait &cleared : report.cleared) {
        const TimePoint clearedAt = timeOf(cleared.ageMs);
        cleared.ageMs = ageMs(clearedAt);
        if (crashTraits.onBegun(cleared.trait, clearedAt))
            logInfo(LogPart::Routing, "event=trait-cleared trait=", cleared.trait, " by=", sender,
                    " age_ms=", cleared.ageMs);
    }
    metrics.gauge("lovagecourse_rejected_traits",
                  static_cast<double>(crashTraits.rejectedCount(now)));
    if (peers.isInOtherDataCentre(sender))
        datagramSocket->sendToAll(peers.activePeers(now), report);
}

} // namespace lovagecourse
