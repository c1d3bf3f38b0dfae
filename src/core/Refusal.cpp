#include "core/Refusal.h"

#include <cassert>

namespace lovagecourse {

namespace {

struct ReasonRow
{
    std::string_view name;
    int status;
};

constexpr std::array<ReasonRow, refusalReasonCount> reasonRows{{
        {"unknown-key", 401},
        {"unknown-service", 404},
        {"malformed-request", 400},
        {"body-too-large", 413},
        {"not-ready", 503},
        {"draining", 503},
        {"account-queue-full", 429},
        {"deadline-expired", 504},
        {"no-server", 503},
        {"idempotency-key-missing", 400},
        {"idempotency-key-malformed", 400},
        {"idempotency-key-too-old", 409},
        {"idempotency-key-conflict", 422},
        {"idempotency-key-in-progress", 409},
        {"idempotency-key-unsettled", 409},
        {"claim-unavailable", 503},
        {"crash-suspect", 403},
        {"server-lost", 502},
        {"server-failed", 502},
        {"agent-lost", 502},
        {"answer-broken", 502},
        {"agent-queue-full", 503},
        {"agent-leaving", 503},
        {"caller-left", 499},
        {"memory-short", 503},
}};

} // namespace

std::string_view toString(RefusalReason reason)
{
    assert(reason < RefusalReason::Count);
    return reasonRows[static_cast<std::size_t>(reason)].name;
}

std::string_view toString(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        break;
    }
    return "unknown";
}

int httpStatus(RefusalReason reason)
{
    assert(reason < RefusalReason::Count);
    return reasonRows[static_cast<std::size_t>(reason)].status;
}

} // namespace lovagecourse
