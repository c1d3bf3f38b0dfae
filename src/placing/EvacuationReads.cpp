#include "placing/EvacuationReads.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace lovagecourse {

namespace {

std::uint64_t historyAfter(std::uint64_t history)
{
    return history == std::numeric_limits<std::uint64_t>::max() ? history : history + 1;
}

} // namespace

void EvacuationReads::onOlderCopy(TimePoint now)
{
    kept_ = newest_.dataCentres;
    kept_.insert(own_.dataCentres.begin(), own_.dataCentres.end());
    keptUntil_ = now + rewriteTime;
}

bool EvacuationReads::expire(TimePoint now)
{
    if (kept_.empty() || now < keptUntil_)
        return false;
    const bool isOwnNewest = own_.position == newest_.position;
    for (const DataCentreId &dataCentre : std::exchange(kept_, {})) {
        own_.dataCentres.erase(dataCentre);
        if (isOwnNewest)
            newest_.dataCentres.erase(dataCentre);
    }
    return true;
}

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
    for (const DataCentreId &dataCentre : dataCentres)
        kept_.erase(dataCentre);
    own_.dataCentres = std::move(dataCentres);
    own_.dataCentres.insert(kept_.begin(), kept_.end());
    if (own_.position >= known)
        setNewest(own_, now);
    return hasLostHistory;
}

bool EvacuationReads::onRecords(const std::vector<EvacuationChange> &changes,
                                const StorePosition &next, TimePoint now)
{
    for (const EvacuationChange &change : changes) {
        kept_.erase(change.dataCentre);
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
