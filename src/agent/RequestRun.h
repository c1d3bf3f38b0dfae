#pragma once

#include "backend/BackendRequest.h"
#include "claims/ClaimStateMachine.h"
#include "core/Clock.h"
#include "wire/Messages.h"

#include <memory>
#include <optional>

namespace lovagecourse {

/// Where a granted request stands at its agent.
enum class RunPhase : std::uint8_t {
    /// The grant waits for the entry's answer.
    Granted,
    /// The idempotency key is being claimed.
    Claiming,
    /// The backend server has the request.
    Running,
    /// The server's connection broke; a probe shows whether the server died.
    Probing,
    /// The server refused the connection; it did not get the request.
    NotSent
};

/// One granted request, from the grant to the end of its answer.
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
    TimePoint lastPartAt;
    /// By when the entry wants an answer.
    TimePoint deadline;
    GrantAccept request;
    /// Part of the estimate that is still held against the flow.
    Work held;
    /// Service consumed so far.
    Work consumed;
    bool sawFirstPart = false;
    bool isEventStream = false;
    /// The entry or its caller left; a claimed request still runs to its outcome.
    bool abandoned = false;
    /// Set while a claim of this agent stands for the request.
    std::optional<ClaimId> claim;
    /// Answer of a claimed request, to be recorded; or of a model, whose body names its tokens.
    RecordedAnswer answer;
    std::unique_ptr<BackendRequest> backend;
};

} // namespace lovagecourse
