#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace lovagecourse {

/// Whether a refused request ran at its backend server, as far as is known.
enum class Ran : std::uint8_t { No, Unknown, Yes };

/// Reason of a refusal; its stable name is a problem type and a counter label.
enum class RefusalReason : std::uint8_t {
    UnknownApiKey,
    UnknownService,
    MalformedRequest,
    BodyTooLarge,
    NotReady,
    Draining,
    AccountQueueFull,
    DeadlineExpired,
    NoServer,
    IdempotencyKeyMissing,
    IdempotencyKeyMalformed,
    IdempotencyKeyTooOld,
    IdempotencyKeyConflict,
    IdempotencyKeyInProgress,
    IdempotencyKeyUnsettled,
    ClaimUnavailable,
    CrashSuspect,
    ServerLost,
    ServerFailed,
    AgentLost,
    AnswerBroken,
    AgentQueueFull,
    AgentLeaving,
    CallerLeft,
    MemoryShort,
    Count
};

constexpr std::size_t refusalReasonCount = static_cast<std::size_t>(RefusalReason::Count);

/// Stable name of a reason, used in problem types and counter labels.
std::string_view toString(RefusalReason reason);
/// "no", "unknown" or "yes".
std::string_view toString(Ran ran);
/// HTTP status code of a refusal for this reason.
int httpStatus(RefusalReason reason);

/// Describes why a request got no complete answer and whether it ran.
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
