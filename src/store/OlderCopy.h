#pragma once

#include "core/Clock.h"
#include "direct/ServerEntry.h"

#include <map>
#include <optional>

namespace lovagecourse {

/// Servers that have deregistered lately: an older copy of the store may still list them.
class RemovedServers
{
public:
    /// Longer than a copy is old.
    static constexpr seconds memory{60};

    void onRemoved(const ServerEntry &entry, TimePoint now);
    /// Whether the run of the server that the entry is of has deregistered.
    bool contains(const ServerEntry &entry) const;

private:
    struct Removed
    {
        std::uint64_t startedMs = 0;
        TimePoint at;
    };

    std::map<ServerId, Removed> removed_;
};

/// Decides what counts of an entry that a full read of a store has returned which has come back
/// from an older copy. known: the entry in use; null if there is none. Empty if the server is not
/// to be used. A server that has left, or has said that it leaves, does not come back with the
/// copy; its next registration does not come from a copy.
std::optional<ServerEntry> entryFromCopy(ServerEntry copied, const ServerEntry *known,
                                         const RemovedServers &removed);

} // namespace lovagecourse
