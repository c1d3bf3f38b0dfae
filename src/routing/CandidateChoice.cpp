#include "routing/CandidateChoice.h"

#include <xxhash.h>

#include <algorithm>

namespace lovagecourse {

namespace {

// Data centres of a region are 1 to 2 ms apart one way, so a round trip is up to 4 ms.
constexpr double ownDataCentreBonusMs = 4;
// A cached prefix saves part of the prefill, but must not outweigh a queue at the server.
constexpr double prefixBonusMs = 20;
// Lower bound, so that the wait grows with the queue even without a measured service time.
constexpr double minServiceTimeMs = 1;

struct ScoredCandidate
{
    double score;
    std::uint64_t tieBreak;
    const Candidate *candidate;
};

std::uint64_t rendezvousWeight(const Candidate &candidate, std::uint64_t prefixHash)
{
    const std::string &id = candidate.server.value;
    return XXH3_64bits_withSeed(id.data(), id.size(), prefixHash);
}

/// Usable server that most likely has the prefix cached, by rendezvous hashing: all entries prefer
/// the same one, until it leaves or a new server ranks higher. Hash 0 stands for no prefix.
const Candidate *preferredByPrefix(const std::vector<Candidate> &candidates,
                                   std::uint64_t prefixHash)
{
    const Candidate *preferred = nullptr;
    if (prefixHash == 0)
        return preferred;
    for (const Candidate &candidate : candidates) {
        if (!candidate.usable)
            continue;
        const bool better = preferred == nullptr
                            || rendezvousWeight(candidate, prefixHash)
                                       > rendezvousWeight(*preferred, prefixHash);
        preferred = better ? &candidate : preferred;
    }
    return preferred;
}

} // namespace

double expectedWaitMs(const Candidate &candidate)
{
    const double limit = std::max(1.0, candidate.limit);
    const double ahead = candidate.inFlight + candidate.queued + 1 - limit;
    if (ahead <= 0)
        return 0;
    return ahead * std::max(minServiceTimeMs, candidate.serviceTimeMs) / limit;
}

std::vector<ServerId> chooseCandidates(const std::vector<Candidate> &candidates,
                                       const DataCentreId &ownDataCentre, std::uint64_t prefixHash,
                                       std::size_t count, std::mt19937_64 &random)
{
    const Candidate *preferred = preferredByPrefix(candidates, prefixHash);
    std::vector<ScoredCandidate> scored;
    for (const Candidate &candidate : candidates) {
        if (!candidate.usable || candidate.alreadyOffered)
            continue;
        double score = expectedWaitMs(candidate);
        if (candidate.dataCentre == ownDataCentre)
            score -= ownDataCentreBonusMs;
        if (&candidate == preferred)
            score -= prefixBonusMs;
        scored.push_back({score, random(), &candidate});
    }
    const auto better = [](const ScoredCandidate &left, const ScoredCandidate &right) {
        return std::pair(left.score, left.tieBreak) < std::pair(right.score, right.tieBreak);
    };
    const std::size_t chosen = std::min(count, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(chosen),
                      scored.end(), better);
    std::vector<ServerId> servers;
    for (std::size_t i = 0; i < chosen; ++i)
        servers.push_back(scored[i].candidate->server);
    return servers;
}

} // namespace lovagecourse
