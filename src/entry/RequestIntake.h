#pragma once

#include "configuration/ConfigurationState.h"
#include "core/Refusal.h"
#include "gateway/HttpGateway.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace lovagecourse {

/// What an entry needs to know of a caller's request to route it.
struct RequestDetails
{
    FlowId flow;
    Service service;
    ModelId model;
    milliseconds deadline{0};
    /// Work that the caller expects, if it said so.
    std::optional<Work> hint;
    /// Empty for repeatable services.
    IdempotencyKey idempotencyKey;
    Fingerprint fingerprint;
    /// Hash of the prompt's start, for prefix-cache affinity; 0 for plain services.
    std::uint64_t prefixHash = 0;
};

using IntakeResult = std::variant<RequestDetails, Refusal>;

/// Finds accounts by their keys and services by their paths.
class RequestIntake
{
public:
    /// window: how long an idempotency key is accepted.
    explicit RequestIntake(seconds window);

    void onConfiguration(const ConfigurationState &state);
    /// Checks a caller's request; a refusal here means that this call runs nothing.
    IntakeResult take(const CallerRequest &request, WallTime now) const;

private:
    const Service *findService(const std::string &path) const;
    std::optional<Refusal> readHeaders(const CallerRequest &request, WallTime now,
                                       RequestDetails &details) const;

    seconds window_;
    std::unordered_map<std::string, AccountId> accountByDigest_;
    std::unordered_map<std::string, Service> serviceByPath_;
};

/// SHA-256 of a key, in lower-case hex.
std::string keyDigest(std::string_view key);

} // namespace lovagecourse
