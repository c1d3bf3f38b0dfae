#include "placing/VersionHistory.h"

namespace lovagecourse {

void VersionHistory::onStarted(TimePoint now)
{
    startedAt_ = now;
    isPastKnown_ = false;
}

void VersionHistory::onSeen(const ServiceId &service, const SoftwareVersion &version, TimePoint now)
{
    services_[service][versionHash(service, version)].lastSeen = now;
}

bool VersionHistory::onRegistered(const ServerId &server, const ServiceId &service,
                                  const SoftwareVersion &version, TimePoint now)
{
    const bool wasMixed = isMixed(service, now);
    const VersionHash hash = versionHash(service, version);
    const auto known = registered_.find(server);
    const bool isSame = known != registered_.end() && known->second.service == service
                        && known->second.version == hash;
    if (!isSame) {
        onRemoved(server, now);
        registered_[server] = Registered{service, hash};
    }
    Version &registered = services_[service][hash];
    registered.servers.insert(server);
    registered.lastSeen = now;
    return !wasMixed && isMixed(service, now);
}

void VersionHistory::onRemoved(const ServerId &server, TimePoint now)
{
    const auto found = registered_.find(server);
    if (found == registered_.end())
        return;
    std::map<VersionHash, Version> &versions = services_[found->second.service];
    Version &version = versions[found->second.version];
    version.servers.erase(server);
    version.lastSeen = now;
    registered_.erase(found);
    std::erase_if(versions, [now](const auto &entry) {
        return entry.second.servers.empty() && now - entry.second.lastSeen >= streamMemory;
    });
}

std::optional<ServiceId> VersionHistory::serviceOf(VersionHash version) const
{
    for (const auto &[service, versions] : services_) {
        if (versions.contains(version))
            return service;
    }
    return std::nullopt;
}

std::vector<VersionHash> VersionHistory::versionsOf(std::span<const ServiceId> services,
                                                    TimePoint now) const
{
    std::vector<VersionHash> found;
    for (const ServiceId &service : services) {
        const auto versions = services_.find(service);
        if (versions == services_.end())
            continue;
        for (const auto &[hash, version] : versions->second) {
            if (!version.servers.empty() || now - version.lastSeen < streamMemory)
                found.push_back(hash);
        }
    }
    return found;
}

bool VersionHistory::isMixed(std::span<const ServiceId> services, TimePoint now) const
{
    return versionsOf(services, now).size() > 1;
}

std::optional<VersionHash> VersionHistory::soleVersion(std::span<const ServiceId> services,
                                                       TimePoint now) const
{
    if (!isPastKnown_ && now - startedAt_ < streamMemory)
        return std::nullopt;
    const std::vector<VersionHash> versions = versionsOf(services, now);
    return versions.size() == 1 ? std::optional(versions.front()) : std::nullopt;
}

} // namespace lovagecourse
