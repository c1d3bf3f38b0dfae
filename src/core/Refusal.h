#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace lovagecourse {

/// What is known about whether a refused request ran at its backend server.
enum class Ran : std::uint8_t { No, Unknown, Yes };

/// Reason of a refusal; each one is a stable problem type and a counter.
enum class RefusalReason : std::uint8_t {
    UnknownKey,
    UnknownService,
    MalformedRequest,
    BodyTooLarge,
    NotReady,
    Draining,
    AccountQueueFull,
    DeadlineExpired,
    NoServer,
    KeyMissing,
    KeyMalformed,
    KeyTooOld,
    KeyConflict,
    KeyInProgress,
    KeyUnsettled,
    ClaimUnavailable,
    CrashSuspect,
    ServerLost,
    ServerFailed,
    AgentLost,
    AnswerBroken,
    AgentQueueFull,
    AgentLeaving,
    CallerLeft,
    Count
};

constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::Count);

/// Stable name of a reason, as used in problem types and counters.
std::string_view toString(RefusalReason reason);
/// "no", "unknown" or "yes".
std::string_view toString(Ran ran);
/// HTTP status of a refusal for this reason.
int httpStatus(RefusalReason reason);

/// A request that did not get its whole answer.
struct Refusal
{
    RefusalReason reason = RefusalReason::MalformedRequest;
    Ran ran = Ran::No;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(reason, ran);
    }
};

} // namespace lovagecourse
