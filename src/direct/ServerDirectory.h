#pragma once

#include "core/Clock.h"
#include "direct/ServerEntry.h"

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
};

/// The registered servers. Registrations of live servers may expire during an outage of the store,
/// so for reregistrationGrace after its recovery, missing servers are kept.
class ServerDirectory
{
public:
    /// Time after the store's recovery within which live servers register again.
    static constexpr milliseconds reregistrationGrace{2000};

    /// Applies one record of the store; entry is empty when the record deletes the server or can't
    /// be decoded.
    std::vector<RegistrationChange> apply(const ServerId &id, std::optional<ServerEntry> entry,
                                          TimePoint now);
    /// True when the record would change the directory; false for a mere heartbeat.
    bool isChange(const ServerId &id, const std::optional<ServerEntry> &entry) const;
    /// Applies all records of the store; servers without a record are removed or marked missing.
    std::vector<RegistrationChange> applyAll(const std::map<ServerId, ServerEntry> &entries,
                                             TimePoint now);
    /// Starts the grace period when the store answers again after an outage.
    void onStoreRecovered(TimePoint now) { graceUntil_ = now + reregistrationGrace; }
    /// Removes the servers that are still missing after the grace period.
    std::vector<RegistrationChange> expire(TimePoint now);
    std::size_t size() const { return entries_.size(); }

private:
    struct KnownServer
    {
        ServerEntry entry;
        /// The registration expired or was deleted during the grace period.
        bool isMissing = false;
    };

    std::map<ServerId, KnownServer> entries_;
    TimePoint graceUntil_;
};

} // namespace lovagecourse
