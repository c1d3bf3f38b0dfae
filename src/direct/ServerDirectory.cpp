#include "direct/ServerDirectory.h"

namespace lovagecourse {

std::vector<RegistrationChange>
ServerDirectory::apply(const ServerId &id, std::optional<ServerEntry> entry, TimePoint now)
{
    if (entry) {
        entries_[id] = KnownServer{*entry, false};
        return {RegistrationChange{id, std::move(entry)}};
    }
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return {};
    if (now < graceUntil_) {
        found->second.isMissing = true;
        return {};
    }
    entries_.erase(found);
    return {RegistrationChange{id, std::nullopt}};
}

bool ServerDirectory::isChange(const ServerId &id, const std::optional<ServerEntry> &entry) const
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return entry.has_value();
    return !entry || found->second.isMissing || found->second.entry != *entry;
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
        for (RegistrationChange &change : apply(id, std::nullopt, now))
            changes.push_back(std::move(change));
    }
    for (const auto &[id, entry] : entries) {
        for (RegistrationChange &change : apply(id, entry, now))
            changes.push_back(std::move(change));
    }
    return changes;
}

std::vector<RegistrationChange> ServerDirectory::expire(TimePoint now)
{
    std::vector<RegistrationChange> changes;
    if (now < graceUntil_)
        return changes;
    for (auto known = entries_.begin(); known != entries_.end();) {
        if (known->second.isMissing) {
            changes.push_back(RegistrationChange{known->first, std::nullopt});
            known = entries_.erase(known);
        } else {
            ++known;
        }
    }
    return changes;
}

} // namespace lovagecourse
