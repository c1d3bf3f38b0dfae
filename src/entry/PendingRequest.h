#pragma once

#include "core/Clock.h"
#include "entry/RequestIntake.h"
#include "scheduling/CostEstimator.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagecourse {

/// Names a grant: every agent counts its own grants, so the number alone is not unique.
using GrantKey = std::pair<ServerId, GrantId>;

/// One grant that the entry accepted for a request.
struct Attempt
{
    ServerId server;
    GrantId grant;
    TimePoint acceptedAt;
    int status = 0;
    HeaderList headers;

    GrantKey key() const { return {server, grant}; }
};

/// A caller's request from its arrival to the end of its answer.
struct PendingRequest
{
    CallerId caller;
    CallerRequest request;
    RequestDetails details;
    CostEstimate estimate;
    TimePoint arrived;
    TimePoint deadline;
    /// Waits for a grant in its flow's queue.
    bool waiting = true;
    /// A second attempt is wanted because the first byte is late.
    bool hedging = false;
    bool hedged = false;
    TimePoint nextWiden;
    std::map<ServerId, OfferId> offers;
    std::vector<Attempt> attempts;
    /// Grant whose answer is passed on.
    std::optional<GrantKey> winner;
    /// Servers that failed it; they are offered to again only when no other is left.
    std::set<ServerId> failedAt;
    /// What is known after the attempts so far.
    Ran ran = Ran::No;
    bool streamBegun = false;
    bool isEventStream = false;
    std::uint64_t deliveredEvents = 0;
    /// Answer held back until it is whole, so that a broken one can be retried.
    std::string buffered;
    bool firstByteSeen = false;
};

} // namespace lovagecourse
