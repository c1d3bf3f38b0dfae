#include "placing/Evacuations.h"

#include <algorithm>

namespace lovagecourse {

bool Evacuations::apply(const DataCentreId &dataCentre, bool isEvacuated, TimePoint now)
{
    if (this->isEvacuated(dataCentre) == isEvacuated)
        return false;
    states_[dataCentre] = State{isEvacuated, now};
    return true;
}

std::vector<EvacuationChange> Evacuations::replaceAll(const std::set<DataCentreId> &evacuated,
                                                      TimePoint now)
{
    std::set<DataCentreId> all = evacuated;
    for (const auto &[dataCentre, state] : states_)
        all.insert(dataCentre);
    std::vector<EvacuationChange> changes;
    for (const DataCentreId &dataCentre : all) {
        const bool isEvacuated = evacuated.contains(dataCentre);
        if (apply(dataCentre, isEvacuated, now))
            changes.push_back(EvacuationChange{dataCentre, isEvacuated});
    }
    return changes;
}

bool Evacuations::isEvacuated(const DataCentreId &dataCentre) const
{
    const auto found = states_.find(dataCentre);
    return found != states_.end() && found->second.isEvacuated;
}

std::optional<TimePoint> Evacuations::changedAt(const DataCentreId &dataCentre) const
{
    const auto found = states_.find(dataCentre);
    return found == states_.end() ? std::nullopt : std::optional(found->second.changedAt);
}

std::size_t Evacuations::count() const
{
    return static_cast<std::size_t>(
            std::count_if(states_.begin(), states_.end(),
                          [](const auto &entry) { return entry.second.isEvacuated; }));
}

} // namespace lovagecourse
