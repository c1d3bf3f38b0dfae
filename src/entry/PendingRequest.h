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

/// Each agent numbers its grants by itself, so only a grant with its server names one attempt.
using AttemptId = std::pair<ServerId, GrantId>;

/// One grant that the entry accepted for a request.
struct Attempt
{
    AttemptId id() const { return {server, grant}; }

    ServerId server;
    GrantId grant;
    TimePoint acceptedAt;
    int status = 0;
    HeaderList headers;
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
    std::map<ServerId, OfferId> offers;
    std::vector<Attempt> attempts;
    /// Attempt whose answer is passed on.
    std::optional<AttemptId> winner;
    /// Servers that failed it; they are offered to again only when no other is left.
    std::set<ServerId> failedAt;
    /// What is known after the attempts so far.
    Ran ran = Ran::No;
    bool streamBegun = false;
    bool isEventStream = false;
    std::uint64_t deliveredEvents = 0;
    /// The event that ends a stream was delivered; the answer is whole whatever happens then.
    bool doneDelivered = false;
    /// Bytes passed to the caller's connection that it has not taken.
    std::size_t unconsumed = 0;
    /// Part of it for which its server got credit when it was held back.
    std::size_t creditedAhead = 0;
    /// Answer held back until it is whole, so that a broken one can be retried.
    std::string buffered;
    bool firstByteSeen = false;
};

} // namespace lovagecourse
