#include "placing/EvacuationReads.h"

#include <algorithm>
#include <limits>

namespace lovagecourse {

namespace {

std::uint64_t historyAfter(std::uint64_t history)
{
    return history == std::numeric_limits<std::uint64_t>::max() ? history : history + 1;
}

} // namespace

bool EvacuationReads::onFullRead(std::set<DataCentreId> dataCentres, const StorePosition &next,
                                 TimePoint startedAt, TimePoint now)
{
    const HistoryPosition known = newest_.position;
    const std::uint64_t era = next.era ? next.era->value : 0;
    // A read that began before the newest set was known may be older than that set, and of an
    // earlier history.
    const bool isLater = startedAt >= newestSince_;
    // The store ends before an offset that was read earlier.
    const bool hasLostHistory = isLater && era <= known.history && next.offset < known.next;
    if (hasLostHistory)
        own_.position.history = historyAfter(known.history);
    else if (isLater)
        own_.position.history = std::max(era, known.history);
    else
        own_.position.history = std::max(era, own_.position.history);
    own_.position.next = next.offset;
    own_.dataCentres = std::move(dataCentres);
    if (own_.position >= known)
        setNewest(own_, now);
    return hasLostHistory;
}

bool EvacuationReads::onRecords(const std::vector<EvacuationChange> &changes,
                                const StorePosition &next, TimePoint now)
{
    for (const EvacuationChange &change : changes) {
        if (change.isEvacuated)
            own_.dataCentres.insert(change.dataCentre);
        else
            own_.dataCentres.erase(change.dataCentre);
        hasEvacuations_ = hasEvacuations_ || change.isEvacuated;
    }
    own_.position.next = next.offset;
    if (own_.position < newest_.position)
        return false;
    setNewest(own_, now);
    return true;
}

EvacuationReads::Outcome EvacuationReads::onTold(EvacuatedSet told, TimePoint now)
{
    if (told.position <= newest_.position)
        return Outcome::Outdated;
    std::erase_if(told.dataCentres,
                  [](const DataCentreId &dataCentre) { return dataCentre.value.empty(); });
    const bool isNewHistory = told.position.history > newest_.position.history;
    setNewest(told, now);
    return isNewHistory ? Outcome::NewerHistory : Outcome::Newer;
}

void EvacuationReads::setNewest(const EvacuatedSet &set, TimePoint now)
{
    newest_ = set;
    newestSince_ = now;
    hasEvacuations_ = hasEvacuations_ || !set.dataCentres.empty();
}

} // namespace lovagecourse
