#include "core/Log.h"
#include "direct/RouterNodeImpl.h"

#include <algorithm>

namespace lovagecourse {

namespace {

std::string_view toString(EvacuationReads::Outcome outcome)
{
    switch (outcome) {
    case EvacuationReads::Outcome::Outdated:
        return "outdated";
    case EvacuationReads::Outcome::Newer:
        return "newer";
    case EvacuationReads::Outcome::NewerHistory:
        break;
    }
    return "newer-history";
}

} // namespace

void RouterNode::Impl::onAllEvacuationRecords(const std::vector<KeyedRecord> &records)
{
    std::set<DataCentreId> evacuated;
    for (const KeyedRecord &record : records) {
        const auto dataCentre = platform.evacuatedDataCentre(record.key);
        if (dataCentre && record.value && !record.value->empty())
            evacuated.insert(*dataCentre);
    }
    const TimePoint now = clock.now();
    const auto next = configurationFollower->next().value_or(StorePosition());
    const TimePoint startedAt = configurationFollower->asOf().value_or(now);
    if (evacuationReads.onFullRead(std::move(evacuated), next, startedAt, now)) {
        logWarning(LogPart::Platform, "event=store-history-lost next=", next,
                   " history=", evacuationReads.newest().position.history);
        // It is an offset of the earlier history.
        announcedConfiguration.reset();
    }
    applyEvacuations();
}

void RouterNode::Impl::onEvacuationRecords(const std::vector<KeyedRecord> &records,
                                           const StorePosition &next)
{
    std::vector<EvacuationChange> changes;
    for (const KeyedRecord &record : records) {
        if (const auto dataCentre = platform.evacuatedDataCentre(record.key))
            changes.push_back({*dataCentre, record.value.has_value()});
    }
    const TimePoint now = clock.now();
    const bool isNewest = evacuationReads.onRecords(changes, next, now);
    if (changes.empty() && !isNewest)
        return;
    if (!changes.empty())
        metrics.count("lovagecourse_evacuation_records_total", {},
                      static_cast<double>(changes.size()));
    // One by one: servers of a data centre that was evacuated for a short time may be cold.
    for (const EvacuationChange &change : changes) {
        if (isNewest)
            pool.onEvacuationRecord(change.dataCentre, change.isEvacuated, now);
    }
    applyEvacuations();
}

void RouterNode::Impl::applyEvacuations()
{
    pool.setEvacuated(evacuationReads.newest().dataCentres, clock.now());
    metrics.gauge("lovagecourse_evacuated_data_centres",
                  static_cast<double>(pool.evacuatedCount()));
}

/// Passes on the newest set of evacuated data centres. Nothing is sent in a fleet that has had no
/// evacuation.
void RouterNode::Impl::sendEvacuations(const std::vector<Endpoint> &targets)
{
    if (!evacuationReads.hasEvacuations())
        return;
    const EvacuatedSet &newest = evacuationReads.newest();
    datagramSocket->sendToAll(
            targets, EvacuatedDataCentres{newest.position.history,
                                          newest.position.next,
                                          {newest.dataCentres.begin(), newest.dataCentres.end()}});
}

void RouterNode::Impl::onMessage(const DaemonId &sender, EvacuatedDataCentres &&report)
{
    const HistoryPosition before = evacuationReads.newest().position;
    const HistoryPosition position{report.history, report.next};
    const auto outcome = evacuationReads.onTold(
            EvacuatedSet{position, {report.dataCentres.begin(), report.dataCentres.end()}},
            clock.now());
    metrics.count("lovagecourse_evacuation_reports_total", toString(outcome));
    if (outcome == EvacuationReads::Outcome::Outdated)
        return;
    logInfo(LogPart::Membership, "event=evacuations-told by=", sender,
            " outcome=", toString(outcome), " history=", position.history, " next=", position.next,
            " history_before=", before.history, " next_before=", before.next,
            " evacuated=", report.dataCentres.size());
    applyEvacuations();
    if (peers.isInOtherDataCentre(sender))
        sendEvacuations(peers.activePeers(clock.now()));
    if (outcome == EvacuationReads::Outcome::NewerHistory)
        configurationFollower->startOver();
}

} // namespace lovagecourse
