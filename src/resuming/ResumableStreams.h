#pragma once

#include "core/EventLoop.h"
#include "core/Metrics.h"
#include "direct/ServerEntry.h"
#include "placing/TakeUp.h"
#include "store/FleetStore.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace lovagecourse {

/// Decides at which software version a stream that a client takes up may go on.
///
/// A router remembers which version began each resumable stream. While a service has several
/// versions, it also appends this to the store, in batches, so that other routers, and this one
/// after a restart, can read it when a client takes such a stream up. That a service has a single
/// version counts only after a read of the servers' registrations that began after the take-up
/// came.
class ResumableStreams
{
public:
    /// Calls onRead with true once all registrations from before the call are known, or with false.
    using ServersReader = std::function<void(std::function<void(bool isCurrent)> onRead)>;

    /// routerCount: live routers in the fleet, among which the store's capacity is divided.
    ResumableStreams(EventLoop &loop, const Clock &clock, Metrics &metrics, DaemonId self,
                     std::function<std::size_t()> routerCount);
    ~ResumableStreams();

    /// Uses this store from now on; before, origins are only remembered.
    void setStore(FleetStore &store);
    /// The store has come back from an older copy: tells again what it may have lost, and reads it
    /// from the beginning.
    void onOlderCopy();
    /// Without one, no version counts as the only one.
    void setServersReader(ServersReader reader);
    /// Reads of registrations start, or have missed some.
    void onStarted();
    /// A server was registered with this entry at some time before the start.
    void onPastEntry(const ServerEntry &entry);
    /// All entries of the time before the start have been passed to onPastEntry().
    void onPastRead();
    void onRegistered(const ServerEntry &entry);
    void onRemoved(const ServerId &server);

    /// The first event of a stream that a client's attempt began was forwarded. routeServices: all
    /// to which its route sends.
    void onBegun(const std::string &attemptId, const ServiceId &service,
                 const SoftwareVersion &version, std::span<const ServiceId> routeServices);
    /// Decides about an attempt that takes up the stream of another one; empty if it names none.
    /// services: all to which its route sends, any of which may have begun the stream. onDecided is
    /// called once with GoOn or Refuse, at once or later.
    void decide(const std::string &resumes, const std::vector<ServiceId> &services,
                std::function<void(const TakeUpDecision &)> onDecided);
    /// Service whose servers have or had the version; empty if it is not known.
    std::optional<ServiceId> serviceOf(VersionHash version) const;

private:
    struct Impl;

    /// Shared with the callbacks of the store's calls, which may outlive this object.
    std::shared_ptr<Impl> impl_;
};

} // namespace lovagecourse
