#pragma once

#include "core/Clock.h"
#include "direct/ServerEntry.h"
#include "store/OlderCopy.h"
#include "store/StoreContact.h"

#include <map>
#include <optional>
#include <vector>

namespace lovagecourse {

/// Change of one registered server.
struct RegistrationChange
{
    ServerId id;
    /// Empty when the server was removed.
    std::optional<ServerEntry> entry;
    /// The record was written after this time; TimePoint() for an entry when it is not known.
    TimePoint writtenAfter;
};

/// The registered servers. Registrations of live servers may expire during an outage of the store,
/// so removals that may have this cause are held for reregistrationGrace after its return. So are
/// those that follow from an older copy, from which the store has come back.
class ServerDirectory
{
public:
    /// Time after the store's return within which live servers register again.
    static constexpr milliseconds reregistrationGrace{2000};

    /// renewalInterval: time between two renewals of a server's registration.
    explicit ServerDirectory(milliseconds renewalInterval = milliseconds(1200))
        : renewalInterval_(renewalInterval)
    {}

    void setRenewalInterval(milliseconds interval) { renewalInterval_ = interval; }
    /// Applies one record of the store; entry is empty when the record deletes the server or can't
    /// be decoded. writtenAfter: a time before the record was written, if this router has read the
    /// record itself.
    std::vector<RegistrationChange> apply(const ServerId &id, std::optional<ServerEntry> entry,
                                          std::optional<TimePoint> writtenAfter, TimePoint now);
    /// True when the record would change the directory; false for a mere heartbeat.
    bool isChange(const ServerId &id, const std::optional<ServerEntry> &entry) const;
    /// The store has come back from an older copy, which may lack servers and list some that have
    /// left. Call it before the first full read from there is applied. Starts the grace period:
    /// what was written before proves nothing of the copy.
    void onOlderCopy(TimePoint now);
    /// Applies all records of the store; servers without a record are removed or marked missing.
    std::vector<RegistrationChange> applyAll(const std::map<ServerId, ServerEntry> &entries,
                                             TimePoint now);
    /// Call it before the records of the first read after failed ones are applied. unread: time
    /// since the last read; silence: longest part of it in which the store has answered nobody.
    /// Starts the grace period if registrations may have expired. Returns whether removals may be
    /// held from now on.
    bool onStoreReturned(std::chrono::nanoseconds unread, std::chrono::nanoseconds silence,
                         TimePoint now);
    /// Returns whether a removal of this server would be held, because it may have expired.
    bool holdsRemoval(const ServerId &id, TimePoint now) const;
    /// Removes the servers that are still missing after the grace period, unless the store does not
    /// answer, so that a registration that has come back may not have been read.
    std::vector<RegistrationChange> expire(bool isStoreAnswering, TimePoint now);
    std::size_t size() const { return entries_.size(); }

private:
    struct KnownServer
    {
        ServerEntry entry;
        /// The last renewal that was read was written after this time.
        std::optional<TimePoint> renewedAfter;
        /// Set while a removal is held: its record was written after this time.
        std::optional<TimePoint> missingAfter;
    };

    bool isRenewed(const KnownServer &known, TimePoint now) const;

    std::map<ServerId, KnownServer> entries_;
    milliseconds renewalInterval_;
    TimePoint graceUntil_;
    /// Full reads until then may return what the older copy held.
    TimePoint copyUntil_;
    RemovedServers removed_;
};

} // namespace lovagecourse
