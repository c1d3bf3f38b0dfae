#include "routing/SuspectList.h"

#include <algorithm>
#include <set>

namespace lovagecourse {

namespace {

constexpr std::chrono::minutes suspectLifetime{10};
constexpr std::size_t crashesToRefuse = 2;
// Two crashes are enough to refuse. The smallest ids are kept, so that the result does not depend
// on the order of merges.
constexpr std::size_t maxCrashes = 4;
// Subtracted from the remaining time that is sent. Otherwise an entry that two daemons send back
// and forth would gain the transit time with each message and never expire.
constexpr milliseconds transitAllowance{2000};

/// Adds an id to the sorted set of at most maxCrashes; false if the set stays the same.
bool addCrash(std::vector<std::uint64_t> &crashes, std::uint64_t crashId)
{
    const auto position = std::lower_bound(crashes.begin(), crashes.end(), crashId);
    if (position != crashes.end() && *position == crashId)
        return false;
    if (position == crashes.end() && crashes.size() == maxCrashes)
        return false;
    crashes.insert(position, crashId);
    if (crashes.size() > maxCrashes)
        crashes.pop_back();
    return true;
}

} // namespace

void SuspectList::onCrash(const std::vector<Fingerprint> &running, std::uint64_t crashId,
                          TimePoint now)
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(suspectLifetime);
    std::vector<CrashSuspect> suspects;
    // Copies of one request count as a single one, which still ran alone.
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
        const TimePoint limit = now + suspectLifetime;
        const TimePoint expires = now + milliseconds(suspect.expiresInMs);
        entry.expires = std::max(entry.expires, std::min(limit, expires));
        if (changed)
            entry.changed = now;
    }
}

SuspectDecision SuspectList::decision(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = entries_.find(fingerprint);
    if (found == entries_.end() || found->second.expires <= now)
        return SuspectDecision::Clear;
    const bool hasCrashedAlone = found->second.crashedAlone;
    if (hasCrashedAlone && found->second.crashes.size() >= crashesToRefuse)
        return SuspectDecision::Refuse;
    return found->second.cleared ? SuspectDecision::Clear : SuspectDecision::RunAlone;
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
        const auto remaining = entry.expires - now - transitAllowance;
        const auto remainingMs = std::chrono::duration_cast<milliseconds>(remaining).count();
        suspects.push_back({fingerprint, entry.crashes, entry.cleared,
                            static_cast<std::uint32_t>(remainingMs), entry.crashedAlone});
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
