#pragma once

#include "backend/BackendRequest.h"
#include "claims/ClaimStateMachine.h"
#include "core/Clock.h"
#include "wire/Messages.h"

#include <memory>
#include <optional>

namespace lovagecourse {

/// State of a granted request at its agent.
enum class RunPhase : std::uint8_t {
    /// The grant was sent; the entry has not accepted it yet.
    Granted,
    /// The idempotency key is being claimed.
    Claiming,
    /// The request was sent to the backend server.
    Running,
    /// The connection to the server broke, or its end is all that says that the answer is complete;
    /// a probe checks whether the server crashed.
    Probing,
    /// No connection was made, so the server did not get the request; a probe checks the server.
    NotSent
};

/// Execution of one granted request at its agent, from the grant to the end of its answer.
struct RequestRun
{
    GrantId grant;
    /// Link of the entry that offered it.
    std::uint64_t link = 0;
    Offer offer;
    RunPhase phase = RunPhase::Granted;
    CostClass costClass = CostClass::Short;
    TimePoint grantedAt;
    TimePoint sentAt;
    /// When the connection to the server was ready; no byte was sent before.
    std::optional<TimePoint> connectedAt;
    TimePoint lastPartAt;
    /// When the end of the connection to the server was noticed.
    TimePoint brokenAt;
    /// The request is recorded as running at a crash of the server.
    bool isCrashRecorded = false;
    /// Set when the entry accepts the grant.
    TimePoint deadline;
    /// Its body is moved to the transfer.
    GrantAccept request;
    MemoryReservation requestMemory;
    /// Estimated work not yet charged, part of the flow's outstanding work in the ledger.
    Work outstanding;
    /// Measured work so far, as charged to the flow.
    Work chargedWork;
    bool firstPartReceived = false;
    bool isEventStream = false;
    /// Cancelled, link closed or grant expired: nothing more is sent to the entry. A claimed
    /// request that was sent to the server still completes.
    bool cancelled = false;
    /// Claim under which the request runs; empty without an idempotency key or before the claim
    /// holds the key.
    std::optional<ClaimId> claim;
    /// Collected for claimed requests, to be recorded. Of a model's non-streaming answer only the
    /// body is collected, to read its token count.
    RecordedAnswer answer;
    /// For the body of the answer.
    MemoryReservation answerMemory;
    /// There was no memory for the body of a model's answer; its token count is unknown.
    bool answerDropped = false;
    std::unique_ptr<BackendRequest> backend;
};

} // namespace lovagecourse
