#pragma once

#include "core/Clock.h"
#include "wire/Messages.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// How a request must be handled. Clear: no restriction. RunAlone: only while no other request runs
/// at the server.
enum class SuspectDecision : std::uint8_t { Clear, RunAlone, Refuse };

/// Crash suspects: requests that were running when backend servers crashed, by fingerprint, for ten
/// minutes after a crash. A request is refused after two crashes, but only if it ran alone at one
/// of them: copies of a harmless request may have run at both, beside the requests that caused the
/// crashes.
class SuspectList
{
public:
    /// A server crashed while these requests ran; the crash id is unique in the fleet.
    void onCrash(const std::vector<Fingerprint> &running, std::uint64_t crashId, TimePoint now);
    /// The request completed: decision() becomes Clear; a refused request stays refused.
    void onCompleted(Fingerprint fingerprint, TimePoint now);
    /// Merges the suspects that another daemon sent.
    void merge(const std::vector<CrashSuspect> &suspects, TimePoint now);
    SuspectDecision decision(Fingerprint fingerprint, TimePoint now) const;
    /// Up to maxEntries suspects, last changed first, to send to other daemons.
    std::vector<CrashSuspect> recent(TimePoint now, std::size_t maxEntries) const;
    /// Removes expired entries.
    void expire(TimePoint now);
    std::size_t size() const;

private:
    struct Entry
    {
        /// Crash ids, sorted.
        std::vector<std::uint64_t> crashes;
        /// The request completed after a crash.
        bool cleared = false;
        /// No other request was running at one of the crashes.
        bool crashedAlone = false;
        TimePoint expires;
        TimePoint changed;
    };

    std::unordered_map<Fingerprint, Entry> entries_;
};

} // namespace lovagecourse
