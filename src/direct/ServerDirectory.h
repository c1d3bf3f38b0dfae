#pragma once

#include "core/Clock.h"
#include "direct/ServerEntry.h"

#include <map>
#include <optional>
#include <vector>

namespace lovagecourse {

/// Change of one server that the owner has to act on.
struct RegistrationChange
{
    ServerId id;
    /// Empty when the server is gone.
    std::optional<ServerEntry> entry;
};

/// The registered servers. While the store was away, entries of live servers may have lapsed; they
/// get some time after its return to come back.
class ServerDirectory
{
public:
    /// Time after the store's return in which live servers register again.
    static constexpr milliseconds returnTime{2000};

    /// One record of the store; empty when it names no server that may be used.
    std::vector<RegistrationChange> apply(const ServerId &id, std::optional<ServerEntry> entry,
                                          TimePoint now);
    /// The record would change what is known, rather than only say that the server lives.
    bool isNews(const ServerId &id, const std::optional<ServerEntry> &entry) const;
    /// Everything that the store holds; servers that are not in it have lapsed.
    std::vector<RegistrationChange> applyAll(const std::map<ServerId, ServerEntry> &entries,
                                             TimePoint now);
    /// The store answers again after it was away.
    void onStoreReturned(TimePoint now) { patienceUntil_ = now + returnTime; }
    /// Servers whose time to come back is over.
    std::vector<RegistrationChange> expire(TimePoint now);
    std::size_t size() const { return entries_.size(); }

private:
    struct Known
    {
        ServerEntry entry;
        /// The entry lapsed and may come back.
        bool isMissing = false;
    };

    std::map<ServerId, Known> entries_;
    TimePoint patienceUntil_;
};

} // namespace lovagecourse
