#include "direct/ServerDirectory.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// A registration expires when its server has missed this many renewals.
constexpr int missedRenewalsUntilExpiry = 3;

} // namespace

std::vector<RegistrationChange> ServerDirectory::apply(const ServerId &id,
                                                       std::optional<ServerEntry> entry,
                                                       std::optional<TimePoint> writtenAfter,
                                                       TimePoint now)
{
    const auto found = entries_.find(id);
    if (entry) {
        const auto lastRenewal =
                found == entries_.end() ? std::nullopt : found->second.renewedAfter;
        entries_[id] = KnownServer{*entry, writtenAfter ? writtenAfter : lastRenewal, std::nullopt};
        return {RegistrationChange{id, std::move(entry), writtenAfter.value_or(TimePoint())}};
    }
    if (found == entries_.end())
        return {};
    const TimePoint after = writtenAfter.value_or(now);
    if (holdsRemoval(id, now)) {
        found->second.missingAfter = found->second.missingAfter.value_or(after);
        return {};
    }
    removed_.onRemoved(found->second.entry, now);
    entries_.erase(found);
    return {RegistrationChange{id, std::nullopt, after}};
}

bool ServerDirectory::isChange(const ServerId &id, const std::optional<ServerEntry> &entry) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return entry.has_value();
    return !entry || found->second.missingAfter || found->second.entry != *entry;
}

void ServerDirectory::onOlderCopy(TimePoint now)
{
    copyUntil_ = now + reregistrationGrace;
    graceUntil_ = std::max(graceUntil_, copyUntil_);
    for (auto &[id, known] : entries_)
        known.renewedAfter.reset();
}

std::vector<RegistrationChange>
ServerDirectory::applyAll(const std::map<ServerId, ServerEntry> &entries, TimePoint now)
{
    std::vector<RegistrationChange> changes;
    std::vector<ServerId> missing;
    for (const auto &[id, known] : entries_) {
        if (!entries.contains(id))
            missing.push_back(id);
    }
    for (const ServerId &id : missing) {
        for (RegistrationChange &change : apply(id, std::nullopt, std::nullopt, now))
            changes.push_back(std::move(change));
    }
    for (const auto &[id, entry] : entries) {
        std::optional<ServerEntry> used = entry;
        if (now < copyUntil_) {
            const auto known = entries_.find(id);
            used = entryFromCopy(entry, known == entries_.end() ? nullptr : &known->second.entry,
                                 removed_);
        }
        if (!used)
            continue;
        for (RegistrationChange &change : apply(id, std::move(used), std::nullopt, now))
            changes.push_back(std::move(change));
    }
    return changes;
}

bool ServerDirectory::onStoreReturned(std::chrono::nanoseconds unread,
                                      std::chrono::nanoseconds silence, TimePoint now)
{
    // Registrations that came back meanwhile have not been read, so a grace period from before goes
    // on for what was left of it.
    if (graceUntil_ > now - unread)
        graceUntil_ += unread;
    if (mayHaveExpired(silence, renewalInterval_))
        graceUntil_ = now + reregistrationGrace;
    return now < graceUntil_;
}

bool ServerDirectory::holdsRemoval(const ServerId &id, TimePoint now) const
{
    const auto found = entries_.find(id);
    return found != entries_.end() && now < graceUntil_ && !isRenewed(found->second, now);
}

/// True when the last renewal is too recent for the registration to have expired since.
bool ServerDirectory::isRenewed(const KnownServer &known, TimePoint now) const
{
    return known.renewedAfter
           && now - *known.renewedAfter < missedRenewalsUntilExpiry * renewalInterval_;
}

std::vector<RegistrationChange> ServerDirectory::expire(bool isStoreAnswering, TimePoint now)
{
    std::vector<RegistrationChange> changes;
    if (!isStoreAnswering || now < graceUntil_)
        return changes;
    for (auto known = entries_.begin(); known != entries_.end();) {
        if (known->second.missingAfter) {
            removed_.onRemoved(known->second.entry, now);
            changes.push_back(
                    RegistrationChange{known->first, std::nullopt, *known->second.missingAfter});
            known = entries_.erase(known);
        } else {
            ++known;
        }
    }
    return changes;
}

} // namespace lovagecourse
