#include "placing/CrashTraits.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace lovagecourse {

namespace {

// Two servers may break off requests with the same sound trait by chance.
constexpr std::size_t serversToReject = 3;
// Requests that break at one moment, as when a host loses its network, are one piece of evidence.
// One that was sent after the first had broken is another.
constexpr int roundsToReject = 2;
// More than what is needed for a rejection; the latest are kept.
constexpr std::size_t maxCrashesPerTrait = 8;
constexpr std::chrono::minutes suspectLifetime{10};
// Bounds the memory, because each request that breaks is a trait of its own.
constexpr std::size_t maxSuspects = 4000;
// When there are that many, those that have not crashed a further server for this time are dropped.
constexpr seconds staleSuspectAge{30};
// A report of a crash may arrive after the answer that clears its trait.
constexpr seconds clearedLifetime{30};
// An answer from later may come from the next run of a server that keeps its id.
constexpr seconds maxAliveDelay{2};

// Routers learn of each other's tries after the prefill time of a prompt. Few of the requests that
// come meanwhile are tried as well.
constexpr double tryShare = 0.2;
constexpr seconds tryInterval{2};

} // namespace

std::string_view toString(TraitDecision decision)
{
    constexpr std::array<std::string_view, 4> names{"accept", "try", "reject-for-now", "reject"};
    return names[static_cast<std::size_t>(decision)];
}

TraitHash wholeRequestTrait(std::string_view account, std::string_view method,
                            std::string_view target, std::string_view body)
{
    TraitHash hash = 0;
    // The length keeps the fields apart.
    for (const std::string_view field : {account, method, target, body})
        hash = XXH64(field.data(), field.size(), hash + field.size());
    return hash;
}

/// Returns whether a further trait can be suspected.
bool CrashTraits::makeRoom(TimePoint now)
{
    if (suspects_.size() < maxSuspects)
        return true;
    std::erase_if(suspects_, [&](const auto &suspect) {
        return suspect.second.crashes.size() < serversToReject
               && now - suspect.second.lastCrash >= staleSuspectAge;
    });
    return suspects_.size() < maxSuspects;
}

bool CrashTraits::onCrash(const TraitCrash &crash, TimePoint now)
{
    if (now - crash.brokenAt >= suspectLifetime)
        return false;
    const auto cleared = cleared_.find(crash.trait);
    if (cleared != cleared_.end() && crash.brokenAt <= cleared->second)
        return false;
    const auto alive = alive_.find(crash.serverRun);
    if (alive != alive_.end() && crash.brokenAt < alive->second)
        return false;
    if (!suspects_.contains(crash.trait) && !makeRoom(now))
        return false;
    Suspect &suspect = suspects_[crash.trait];
    const bool isNew =
            suspect.crashes.emplace(crash.serverRun, Seen{crash.sentAt, crash.brokenAt}).second;
    if (!isNew)
        return false;
    suspect.lastCrash = std::max(suspect.lastCrash, crash.brokenAt);
    TimePoint &lastBroken = lastBroken_[crash.serverRun];
    lastBroken = std::max(lastBroken, crash.brokenAt);
    if (suspect.crashes.size() > maxCrashesPerTrait) {
        const auto oldest =
                std::min_element(suspect.crashes.begin(), suspect.crashes.end(),
                                 [](const auto &left, const auto &right) {
                                     return left.second.brokenAt < right.second.brokenAt;
                                 });
        suspect.crashes.erase(oldest);
    }
    return true;
}

bool CrashTraits::onBegun(TraitHash trait, TimePoint begunAt)
{
    const auto found = suspects_.find(trait);
    if (found == suspects_.end())
        return false;
    auto &crashes = found->second.crashes;
    const std::size_t dropped = std::erase_if(
            crashes, [&](const auto &crash) { return crash.second.brokenAt <= begunAt; });
    if (dropped == 0)
        return false;
    if (crashes.empty())
        suspects_.erase(found);
    TimePoint &cleared = cleared_[trait];
    cleared = std::max(cleared, begunAt);
    return true;
}

void CrashTraits::onAlive(ServerRunHash serverRun, TimePoint sentAt, TimePoint now)
{
    const auto lastBroken = lastBroken_.find(serverRun);
    if (lastBroken == lastBroken_.end() || now - lastBroken->second >= maxAliveDelay)
        return;
    for (auto suspect = suspects_.begin(); suspect != suspects_.end();) {
        auto &crashes = suspect->second.crashes;
        const auto crash = crashes.find(serverRun);
        const bool isRefuted = crash != crashes.end() && crash->second.brokenAt < sentAt
                               && now - crash->second.brokenAt < maxAliveDelay;
        if (isRefuted) {
            crashes.erase(crash);
            alive_[serverRun] = sentAt;
        }
        suspect = crashes.empty() ? suspects_.erase(suspect) : std::next(suspect);
    }
}

std::optional<TimePoint> CrashTraits::clearedAt(TraitHash trait) const
{
    const auto found = cleared_.find(trait);
    return found == cleared_.end() ? std::nullopt : std::optional(found->second);
}

const CrashTraits::Suspect *CrashTraits::rejectedSuspect(TraitHash trait, TimePoint now) const
{
    const auto found = suspects_.find(trait);
    if (found == suspects_.end())
        return nullptr;
    const Suspect &suspect = found->second;
    if (suspect.crashes.size() < serversToReject || now - suspect.lastCrash >= suspectLifetime)
        return nullptr;
    std::vector<Seen> seen;
    seen.reserve(suspect.crashes.size());
    for (const auto &[serverRun, crash] : suspect.crashes)
        seen.push_back(crash);
    std::sort(seen.begin(), seen.end(),
              [](const Seen &left, const Seen &right) { return left.brokenAt < right.brokenAt; });
    int rounds = 1;
    TimePoint roundEnd = seen.front().brokenAt;
    for (const Seen &crash : seen) {
        if (crash.sentAt <= roundEnd)
            continue;
        ++rounds;
        roundEnd = crash.brokenAt;
    }
    return rounds >= roundsToReject ? &suspect : nullptr;
}

/// True when a rejected trait that is not among the given ones was part of all of the suspect's
/// crashes.
bool CrashTraits::isExplained(const Suspect &suspect, const std::vector<TraitHash> &traits,
                              TimePoint now) const
{
    const auto explains = [&](const std::pair<const TraitHash, Suspect> &other) {
        if (&other.second == &suspect
            || std::find(traits.begin(), traits.end(), other.first) != traits.end())
            return false;
        const auto isShared = [&](const auto &crash) {
            return other.second.crashes.contains(crash.first);
        };
        return rejectedSuspect(other.first, now)
               && std::all_of(suspect.crashes.begin(), suspect.crashes.end(), isShared);
    };
    return std::any_of(suspects_.begin(), suspects_.end(), explains);
}

TraitDecision CrashTraits::decide(const std::vector<TraitHash> &traits, double draw, TimePoint now)
{
    if (isEmpty())
        return TraitDecision::Accept;
    std::vector<Suspect *> unproven;
    for (const TraitHash trait : traits) {
        const Suspect *rejected = rejectedSuspect(trait, now);
        if (!rejected)
            continue;
        if (!isExplained(*rejected, traits, now))
            return TraitDecision::Reject;
        unproven.push_back(&suspects_.at(trait));
    }
    if (unproven.empty())
        return TraitDecision::Accept;
    const bool isTriedLately =
            std::any_of(unproven.begin(), unproven.end(), [&](const Suspect *suspect) {
                return suspect->lastTry != TimePoint() && now - suspect->lastTry < tryInterval;
            });
    if (isTriedLately || draw >= tryShare)
        return TraitDecision::RejectForNow;
    for (Suspect *suspect : unproven)
        suspect->lastTry = now;
    return TraitDecision::Try;
}

std::optional<TraitHash> CrashTraits::findRejected(const std::vector<TraitHash> &traits,
                                                   TimePoint now) const
{
    if (isEmpty())
        return std::nullopt;
    for (const TraitHash trait : traits) {
        if (rejectedSuspect(trait, now))
            return trait;
    }
    return std::nullopt;
}

std::chrono::nanoseconds CrashTraits::rejectedFor(TraitHash trait, TimePoint now) const
{
    const Suspect *rejected = rejectedSuspect(trait, now);
    return rejected ? rejected->lastCrash + suspectLifetime - now : std::chrono::nanoseconds(0);
}

std::vector<TraitCrash> CrashTraits::crashes(TimePoint now, std::size_t maxCount) const
{
    std::vector<TraitCrash> all;
    for (const auto &[trait, suspect] : suspects_) {
        if (now - suspect.lastCrash >= suspectLifetime)
            continue;
        for (const auto &[serverRun, crash] : suspect.crashes)
            all.push_back(TraitCrash{trait, serverRun, crash.sentAt, crash.brokenAt});
    }
    // Rejected traits first: a router that starts must not learn them from further crashes.
    const auto rank = [&](const TraitCrash &crash) {
        return std::pair(rejectedSuspect(crash.trait, now) == nullptr, now - crash.brokenAt);
    };
    std::sort(all.begin(), all.end(), [&](const TraitCrash &left, const TraitCrash &right) {
        return rank(left) < rank(right);
    });
    if (all.size() > maxCount)
        all.resize(maxCount);
    return all;
}

void CrashTraits::expire(TimePoint now)
{
    std::erase_if(suspects_, [&](const auto &suspect) {
        return now - suspect.second.lastCrash >= suspectLifetime;
    });
    std::erase_if(cleared_,
                  [&](const auto &cleared) { return now - cleared.second >= clearedLifetime; });
    std::erase_if(lastBroken_,
                  [&](const auto &broken) { return now - broken.second >= maxAliveDelay; });
    std::erase_if(alive_, [&](const auto &alive) { return now - alive.second >= clearedLifetime; });
}

std::size_t CrashTraits::rejectedCount(TimePoint now) const
{
    return static_cast<std::size_t>(
            std::count_if(suspects_.begin(), suspects_.end(), [&](const auto &suspect) {
                return rejectedSuspect(suspect.first, now) != nullptr;
            }));
}

} // namespace lovagecourse
