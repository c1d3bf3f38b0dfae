#pragma once

#include "core/Clock.h"
#include "wire/Messages.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// What is to be done with a request of a fingerprint.
enum class SuspectVerdict : std::uint8_t { Clear, RunAlone, Refuse };

/// Requests that were running when backend servers died. A request is refused after two crashes,
/// but only if it ran alone at one of them: copies of an innocent one may have run beside both.
class SuspectList
{
public:
    /// A server died while these ran; the crash id is unique in the fleet.
    void onCrash(const std::vector<Fingerprint> &running, std::uint64_t crashId, TimePoint now);
    /// The request ran whole after its last crash; a request that is refused stays so.
    void onCompleted(Fingerprint fingerprint, TimePoint now);
    /// Merges what another daemon knows.
    void merge(const std::vector<CrashSuspect> &suspects, TimePoint now);
    SuspectVerdict verdict(Fingerprint fingerprint, TimePoint now) const;
    /// Most recent changes first, for notices.
    std::vector<CrashSuspect> recent(TimePoint now, std::size_t maxEntries) const;
    void expire(TimePoint now);
    std::size_t size() const;

private:
    struct Entry
    {
        std::vector<std::uint64_t> crashes;
        bool cleared = false;
        bool crashedAlone = false;
        TimePoint expires;
        TimePoint changed;
    };

    std::unordered_map<Fingerprint, Entry> entries_;
};

} // namespace lovagecourse
