#include "routing/SuspectList.h"

#include <algorithm>
#include <set>

namespace lovagecourse {

namespace {

constexpr std::chrono::minutes lifetime{10};
constexpr std::size_t crashesToRefuse = 2;
// Two crashes decide; the smallest ids are kept, so that the order of merges does not matter.
constexpr std::size_t maxCrashes = 4;
// Taken off the remaining time that is sent, so that an entry that goes back and forth between two
// daemons does not gain the time on the way each time and live for ever.
constexpr milliseconds transitAllowance{2000};

/// Adds an id to a sorted set; false when that changes nothing.
bool addCrash(std::vector<std::uint64_t> &crashes, std::uint64_t crashId)
{
    const auto place = std::lower_bound(crashes.begin(), crashes.end(), crashId);
    if (place != crashes.end() && *place == crashId)
        return false;
    if (place == crashes.end() && crashes.size() == maxCrashes)
        return false;
    crashes.insert(place, crashId);
    if (crashes.size() > maxCrashes)
        crashes.pop_back();
    return true;
}

} // namespace

void SuspectList::onCrash(const std::vector<Fingerprint> &running, std::uint64_t crashId,
                          TimePoint now)
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(lifetime);
    std::vector<CrashSuspect> suspects;
    // Copies of one request are no company for each other.
    const std::set<Fingerprint> fingerprints(running.begin(), running.end());
    suspects.reserve(fingerprints.size());
    for (const Fingerprint fingerprint : fingerprints)
        suspects.push_back({fingerprint,
                            {crashId},
                            false,
                            static_cast<std::uint32_t>(remaining.count()),
                            fingerprints.size() == 1});
    merge(suspects, now);
}

void SuspectList::onCompleted(Fingerprint fingerprint, TimePoint now)
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.cleared)
        return;
    found->second.cleared = true;
    found->second.changed = now;
}

void SuspectList::merge(const std::vector<CrashSuspect> &suspects, TimePoint now)
{
    for (const CrashSuspect &suspect : suspects) {
        if (suspect.crashes.empty() || suspect.expiresInMs == 0)
            continue;
        Entry &entry = entries_[suspect.fingerprint];
        if (entry.expires <= now)
            entry = Entry{};
        bool changed = (suspect.cleared && !entry.cleared)
                       || (suspect.crashedAlone && !entry.crashedAlone);
        for (const std::uint64_t crashId : suspect.crashes)
            changed = addCrash(entry.crashes, crashId) || changed;
        entry.cleared = entry.cleared || suspect.cleared;
        entry.crashedAlone = entry.crashedAlone || suspect.crashedAlone;
        const TimePoint limit = now + lifetime;
        const TimePoint expires = now + milliseconds(suspect.expiresInMs);
        entry.expires = std::max(entry.expires, std::min(limit, expires));
        if (changed)
            entry.changed = now;
    }
}

SuspectVerdict SuspectList::verdict(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.expires <= now)
        return SuspectVerdict::Clear;
    const bool isProven = found->second.crashedAlone;
    if (isProven && found->second.crashes.size() >= crashesToRefuse)
        return SuspectVerdict::Refuse;
    return found->second.cleared ? SuspectVerdict::Clear : SuspectVerdict::RunAlone;
}

std::vector<CrashSuspect> SuspectList::recent(TimePoint now, std::size_t maxEntries) const
{
    std::vector<const std::pair<const Fingerprint, Entry> *> live;
    for (const auto &item : entries_) {
        if (item.second.expires > now + transitAllowance)
            live.push_back(&item);
    }
    std::sort(live.begin(), live.end(), [](const auto *left, const auto *right) {
        if (left->second.changed != right->second.changed)
            return left->second.changed > right->second.changed;
        return left->first < right->first;
    });
    live.resize(std::min(live.size(), maxEntries));
    std::vector<CrashSuspect> suspects;
    for (const auto *item : live) {
        const auto &[fingerprint, entry] = *item;
        const auto left = entry.expires - now - transitAllowance;
        const auto leftMs = std::chrono::duration_cast<milliseconds>(left).count();
        suspects.push_back({fingerprint, entry.crashes, entry.cleared,
                            static_cast<std::uint32_t>(leftMs), entry.crashedAlone});
    }
    return suspects;
}

void SuspectList::expire(TimePoint now)
{
    std::erase_if(entries_, [&](const auto &item) { return item.second.expires <= now; });
}

std::size_t SuspectList::size() const
{
    return entries_.size();
}

} // namespace lovagecourse
