#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "placing/Evacuations.h"
#include "store/StorePosition.h"

#include <cstdint>
#include <set>
#include <vector>

namespace lovagecourse {

/// Position of a read of the store, in an order over all of its histories: after the loss of
/// records it gives their offsets to others.
struct HistoryPosition
{
    /// The store's era. If it names none, or one that is lower than before, the number of losses
    /// that routers have seen counts on from the last one.
    std::uint64_t history = 0;
    /// Offset after the last record that was read.
    LogOffset next;

    auto operator<=>(const HistoryPosition &) const = default;
};

/// The evacuated data centres as one read of the store gave them.
struct EvacuatedSet
{
    HistoryPosition position;
    std::set<DataCentreId> dataCentres;
};

/// Decides which set of evacuated data centres is the newest: the one that this router has read, or
/// one that another router has read and passed on. Handles routers that can't reach the store, and
/// messages that are lost, late or out of order: a set replaces another only by a higher position.
class EvacuationReads
{
public:
    /// What a set from another router has changed.
    enum class Outcome : std::uint8_t {
        /// Nothing; a set that is as new or newer is known.
        Outdated,
        /// It is the newest set now.
        Newer,
        /// It is the newest set now, and of a later history: this router's own set continues an
        /// earlier one, and remains outdated until the next full read.
        NewerHistory
    };

    /// Time within which what the store has lost is written again after its return.
    static constexpr milliseconds rewriteTime{2000};

    /// The store has come back from an older copy, which may lack evacuations. Call it before the
    /// full read is passed on: what is evacuated stays so for rewriteTime, or until a record ends
    /// it.
    void onOlderCopy(TimePoint now);
    /// Ends the evacuations that have not been written again in time. Returns whether there were
    /// any.
    bool expire(TimePoint now);
    /// This router has read the newest records of all keys. Returns true if the store has lost its
    /// history since the newest known set was read.
    bool onFullRead(std::set<DataCentreId> dataCentres, const StorePosition &next,
                    TimePoint startedAt, TimePoint now);
    /// This router has read the records up to a position. Returns whether its own set is the
    /// newest.
    bool onRecords(const std::vector<EvacuationChange> &changes, const StorePosition &next,
                   TimePoint now);
    /// Another router passes on a set.
    Outcome onTold(EvacuatedSet told, TimePoint now);

    const EvacuatedSet &newest() const { return newest_; }
    /// True once a data centre was evacuated in a known set; there is nothing to tell before.
    bool hasEvacuations() const { return hasEvacuations_; }

private:
    void setNewest(const EvacuatedSet &set, TimePoint now);

    /// As read by this router; later records apply to this set only.
    EvacuatedSet own_;
    EvacuatedSet newest_;
    /// Evacuations that the older copy lacks and that have not been written again.
    std::set<DataCentreId> kept_;
    TimePoint keptUntil_;
    /// When newest_ became known.
    TimePoint newestSince_;
    bool hasEvacuations_ = false;
};

} // namespace lovagecourse
