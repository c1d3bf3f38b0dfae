#pragma once

#include "configuration/ConfigurationState.h"
#include "core/Refusal.h"
#include "gateway/HttpGateway.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

namespace lovagecourse {

/// Properties of a caller's request that its routing depends on.
struct RequestDetails
{
    FlowId flow;
    Service service;
    ModelId model;
    milliseconds deadline{0};
    /// Work that the caller expects, from x-cost-hint or max_tokens; empty without either.
    std::optional<Work> costHint;
    /// Empty for repeatable services.
    IdempotencyKey idempotencyKey;
    Fingerprint fingerprint;
    /// Hash of the first 256 bytes of the prompt, for prefix-cache affinity; 0 for none.
    std::uint64_t prefixHash = 0;
};

using ValidationResult = std::variant<RequestDetails, Refusal>;

/// Validates callers' requests: finds the account by API key and the service by path, and checks
/// the headers and a chat request's body.
class RequestValidator
{
public:
    /// keyWindow: how long an idempotency key is accepted after its creation.
    explicit RequestValidator(seconds keyWindow);

    void onConfiguration(const ConfigurationState &state);
    /// Returns a refusal when the request is invalid; nothing was or will be executed for this
    /// call.
    ValidationResult validate(const CallerRequest &request, WallTime now) const;

private:
    const Service *findService(const std::string &path) const;
    /// Reads deadline, cost hint and idempotency key; returns a refusal when one is invalid.
    std::optional<Refusal> readHeaders(const CallerRequest &request, WallTime now,
                                       RequestDetails &details) const;

    seconds keyWindow_;
    std::unordered_map<std::string, AccountId> accountByDigest_;
    std::unordered_map<std::string, Service> serviceByPath_;
};

/// SHA-256 of an API key, in lower-case hex.
std::string apiKeyDigest(std::string_view key);

} // namespace lovagecourse
