#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lovagecourse {

/// A data centre has been evacuated, or its evacuation has been withdrawn.
struct EvacuationChange
{
    DataCentreId dataCentre;
    bool isEvacuated = false;

    bool operator==(const EvacuationChange &) const = default;
};

/// The data centres whose servers must get no request, as the store's records say. Handles an
/// operator's request that moves all load of a data centre to the others within seconds. Nothing
/// but a record that has been read ends an evacuation, so it outlasts an outage of the store.
class Evacuations
{
public:
    /// Applies one record. Returns whether it changes the data centre's state.
    bool apply(const DataCentreId &dataCentre, bool isEvacuated, TimePoint now);
    /// Replaces the whole set after a full read, which has no records of deletions. Returns the
    /// changes.
    std::vector<EvacuationChange> replaceAll(const std::set<DataCentreId> &evacuated,
                                             TimePoint now);
    bool isEvacuated(const DataCentreId &dataCentre) const;
    /// Time of the last change; empty if the data centre was never evacuated.
    std::optional<TimePoint> changedAt(const DataCentreId &dataCentre) const;
    /// Number of evacuated data centres.
    std::size_t count() const;

private:
    struct State
    {
        bool isEvacuated = false;
        TimePoint changedAt;
    };

    std::map<DataCentreId, State> states_;
};

} // namespace lovagecourse
