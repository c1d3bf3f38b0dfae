#include "placing/StreamOrigins.h"

#include "wire/ReportHash.h"

#include <xxhash.h>

namespace lovagecourse {

AttemptHash attemptHash(std::string_view attemptId)
{
    return AttemptHash(XXH64(attemptId.data(), attemptId.size(), 0));
}

VersionHash versionHash(const ServiceId &service, const SoftwareVersion &version)
{
    // No service's name contains a line break.
    return VersionHash(reportHash(service.value + '\n' + version.value));
}

void StreamOrigins::add(const StreamOrigin &origin, TimePoint now)
{
    while (!order_.empty()
           && (now - order_.front().second >= streamMemory || order_.size() >= maxOrigins)) {
        known_.erase(order_.front().first);
        order_.pop_front();
    }
    // The first origin of an attempt holds: later ones are copies that were read.
    if (known_.try_emplace(origin.attempt, Known{origin.version, now}).second)
        order_.emplace_back(origin.attempt, now);
}

std::optional<VersionHash> StreamOrigins::find(AttemptHash attempt, TimePoint now) const
{
    const auto found = known_.find(attempt);
    if (found == known_.end() || now - found->second.addedAt >= streamMemory)
        return std::nullopt;
    return found->second.version;
}

std::vector<StreamOrigin> StreamOrigins::all(TimePoint now) const
{
    std::vector<StreamOrigin> origins;
    for (const auto &[attempt, addedAt] : order_) {
        if (const auto version = find(attempt, now))
            origins.push_back({attempt, *version});
    }
    return origins;
}

} // namespace lovagecourse
