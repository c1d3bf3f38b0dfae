#pragma once

#include "placing/StreamOrigins.h"

#include <map>
#include <optional>
#include <set>
#include <span>

namespace lovagecourse {

/// The software versions of each service's servers within streamMemory. A stream whose origin
/// nobody knows may only go on if a single version can have begun it.
class VersionHistory
{
public:
    /// The router starts to read registrations, or has missed some; what was registered before and
    /// is not any more is unknown.
    void onStarted(TimePoint now);
    /// The registrations of the time before the start have been passed to onSeen().
    void onHistoryRead() { isPastKnown_ = true; }
    /// A server with the version was registered at some time until now.
    void onSeen(const ServiceId &service, const SoftwareVersion &version, TimePoint now);
    /// A server is registered. Returns true if the service has several versions since this call.
    bool onRegistered(const ServerId &server, const ServiceId &service,
                      const SoftwareVersion &version, TimePoint now);
    void onRemoved(const ServerId &server, TimePoint now);

    /// More than one version of the services may have begun streams.
    bool isMixed(std::span<const ServiceId> services, TimePoint now) const;
    bool isMixed(const ServiceId &service, TimePoint now) const
    {
        return isMixed(std::span(&service, 1), now);
    }
    /// The only version that can have begun a stream of one of the services; empty if there are
    /// several, or if it is not known.
    std::optional<VersionHash> soleVersion(std::span<const ServiceId> services,
                                           TimePoint now) const;
    std::optional<VersionHash> soleVersion(const ServiceId &service, TimePoint now) const
    {
        return soleVersion(std::span(&service, 1), now);
    }
    /// Service of a version that was seen within streamMemory.
    std::optional<ServiceId> serviceOf(VersionHash version) const;

private:
    struct Version
    {
        std::set<ServerId> servers;
        TimePoint lastSeen;
    };
    struct Registered
    {
        ServiceId service;
        VersionHash version;
    };

    std::vector<VersionHash> versionsOf(std::span<const ServiceId> services, TimePoint now) const;

    std::map<ServiceId, std::map<VersionHash, Version>> services_;
    std::map<ServerId, Registered> registered_;
    TimePoint startedAt_;
    bool isPastKnown_ = false;
};

} // namespace lovagecourse
