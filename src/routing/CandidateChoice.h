#pragma once

#include "core/Ids.h"
#include "core/Units.h"

#include <cstdint>
#include <random>
#include <vector>

namespace lovagecourse {

/// State of one server that could run a request, as known to an entry.
struct Candidate
{
    ServerId server;
    DataCentreId dataCentre;
    /// The link is up, the server responds and is not leaving.
    bool usable = false;
    /// Concurrency limit of the server, in requests.
    double limit = 1;
    double inFlight = 0;
    double queued = 0;
    double serviceTimeMs = 0;
    /// The entry already has an offer or an attempt of this request at the server.
    bool alreadyOffered = false;
};

/// Expected wait of a further request for a slot, in ms.
double expectedWaitMs(const Candidate &candidate);

/// Up to count usable servers without an offer, best first: by expected wait, with a bonus for the
/// own data centre and for the server that the prefix hash prefers. Ties are broken at random.
std::vector<ServerId> chooseCandidates(const std::vector<Candidate> &candidates,
                                       const DataCentreId &ownDataCentre, std::uint64_t prefixHash,
                                       std::size_t count, std::mt19937_64 &random);

} // namespace lovagecourse
