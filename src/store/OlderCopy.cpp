#include "store/OlderCopy.h"

namespace lovagecourse {

void RemovedServers::onRemoved(const ServerEntry &entry, TimePoint now)
{
    std::erase_if(removed_, [now](const auto &item) { return now - item.second.at > memory; });
    removed_[entry.id] = Removed{entry.startedMs, now};
}

bool RemovedServers::contains(const ServerEntry &entry) const
{
    const auto found = removed_.find(entry.id);
    return found != removed_.end() && entry.startedMs <= found->second.startedMs;
}

std::optional<ServerEntry> entryFromCopy(ServerEntry copied, const ServerEntry *known,
                                         const RemovedServers &removed)
{
    if (!known)
        return removed.contains(copied) ? std::nullopt : std::optional(std::move(copied));
    if (copied.startedMs < known->startedMs)
        return *known;
    const bool isSameRun = copied.startedMs == known->startedMs;
    copied.isDraining = copied.isDraining || (isSameRun && known->isDraining);
    return copied;
}

} // namespace lovagecourse
