#pragma once

#include "core/Ids.h"
#include "core/Units.h"

#include <cstdint>
#include <random>
#include <vector>

namespace lovagecourse {

/// What an entry knows of one server that could run a request.
struct Candidate
{
    ServerId server;
    DataCentreId dataCentre;
    /// Link is up, server answers, not leaving.
    bool usable = false;
    double limit = 1;
    double inFlight = 0;
    double queued = 0;
    double serviceTimeMs = 0;
    /// This entry already has an offer or attempt of the request there.
    bool alreadyOffered = false;
};

/// Expected wait for a slot, in milliseconds.
double expectedWaitMs(const Candidate &candidate);

/// Up to count usable servers, best first: by expected wait, with a small bonus for the own data
/// centre and for the server that the prefix hash prefers. Ties are broken at random.
std::vector<ServerId> chooseCandidates(const std::vector<Candidate> &candidates,
                                       const DataCentreId &ownDataCentre, std::uint64_t prefixHash,
                                       std::size_t count, std::mt19937_64 &random);

} // namespace lovagecourse
