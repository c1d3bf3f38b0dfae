#pragma once

#include "core/Clock.h"
#include "entry/RequestValidator.h"
#include "scheduling/CostEstimator.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lovagecourse {

/// Grant ids are unique only per agent, so an attempt is identified by server and grant.
using AttemptId = std::pair<ServerId, GrantId>;

/// Execution of a request under one accepted grant.
struct RequestAttempt
{
    AttemptId id() const { return {server, grant}; }

    ServerId server;
    GrantId grant;
    TimePoint acceptedAt;
    int status = 0;
    HeaderList headers;
};

/// State of a caller's request from its arrival to the end of its answer.
struct PendingRequest
{
    CallerId caller;
    CallerRequest request;
    RequestDetails details;
    CostEstimate estimate;
    TimePoint arrived;
    TimePoint deadline;
    /// In its flow's queue, waiting for a grant.
    bool waiting = true;
    /// Offered for a second attempt because the first byte is late.
    bool hedging = false;
    /// A request is considered for hedging only once.
    bool hedged = false;
    /// Outstanding offers by server.
    std::map<ServerId, OfferId> offers;
    std::vector<RequestAttempt> attempts;
    /// Attempt whose answer is forwarded to the caller: the first that sent data or completed.
    std::optional<AttemptId> winner;
    /// Servers at which an attempt failed; they get another offer only when no other is left.
    std::set<ServerId> failedServers;
    /// Whether one of the failed attempts may have run.
    Ran ran = Ran::No;
    bool streamBegun = false;
    bool isEventStream = false;
    std::uint64_t deliveredEvents = 0;
    /// The "[DONE]" event was forwarded, so the stream is complete even if the attempt then fails.
    bool doneDelivered = false;
    /// Bytes written to the caller's connection that it has not consumed yet.
    std::size_t unconsumed = 0;
    /// Part of the unconsumed bytes for which the server got credit while they were buffered.
    std::size_t alreadyCredited = 0;
    /// Body of a non-streaming answer, buffered until it is complete so that it can be retried.
    std::string bufferedBody;
    MemoryReservation bufferedMemory;
    bool firstByteSeen = false;
};

} // namespace lovagecourse
