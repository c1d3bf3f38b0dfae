#pragma once

#include "core/Ids.h"

#include <optional>
#include <ostream>

namespace lovagecourse {

/// Place in a topic of the store. Offsets of two eras are places in different logs, so positions
/// have no order of their own; see the functions below.
struct StorePosition
{
    /// Empty if the store names no era.
    std::optional<StoreEra> era;
    LogOffset offset;

    bool operator==(const StorePosition &) const = default;
};

/// Returns whether all records before the other position are also before this one.
inline bool covers(const StorePosition &position, const StorePosition &other)
{
    return position.era == other.era && other.offset <= position.offset;
}

/// Returns whether a read up to the position may know records that one up to the other can't: it is
/// of a later era, or further on in the same one.
inline bool isAheadOf(const StorePosition &position, const StorePosition &other)
{
    return position.era == other.era ? position.offset > other.offset : position.era > other.era;
}

/// Formats as "era:offset"; the era is "none" if the store names none.
inline std::ostream &operator<<(std::ostream &out, const StorePosition &position)
{
    if (position.era)
        return out << *position.era << ':' << position.offset;
    return out << "none:" << position.offset;
}

} // namespace lovagecourse
