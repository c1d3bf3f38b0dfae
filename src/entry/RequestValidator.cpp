#include "entry/RequestValidator.h"

#include "claims/IdempotencyKeyCheck.h"
#include "documents/DocumentReader.h"
#include "http/HttpClient.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <charconv>

namespace lovagecourse {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::size_t hashedPrefixBytes = 256;
constexpr std::int64_t maxDeadlineMs = 3'600'000;
// No real request needs more work than this; larger hints are rejected as input errors.
constexpr std::int64_t maxCostHint = 100'000'000;

/// Value of a positive integer up to max; empty when the text is anything else.
std::optional<std::int64_t> parsePositive(std::string_view text, std::int64_t max)
{
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isWhole = result.ec == std::errc{} && result.ptr == text.data() + text.size();
    if (!isWhole || value <= 0 || value > max)
        return std::nullopt;
    return value;
}

Fingerprint fingerprintOf(const FlowId &flow, const std::string &body)
{
    const std::string text = flow.account.value + '\n' + flow.service.value + '\n' + body;
    // 0 means "no fingerprint".
    return Fingerprint(std::max<std::uint64_t>(1, XXH64(text.data(), text.size(), 0)));
}

std::uint64_t prefixHashOf(const nlohmann::json &chat)
{
    const auto messages = chat.find("messages");
    if (messages == chat.end() || !messages->is_array() || messages->empty())
        return 0;
    const nlohmann::json &first = messages->front();
    if (!first.is_object() || !first.contains("content") || !first["content"].is_string())
        return 0;
    const std::string prefix = first["content"].get<std::string>().substr(0, hashedPrefixBytes);
    return XXH64(prefix.data(), prefix.size(), 0);
}

/// Reads model, prompt prefix and max_tokens of a chat request; false when the body is malformed.
bool readChat(const std::string &body, RequestDetails &details)
{
    static const DocumentSelection selection = selectFields(
            {{"model", selectScalar()},
             {"messages", selectElements(selectFields({{"content", selectScalar()}}), 1)},
             {"max_tokens", selectScalar()}});
    const auto read = readDocument(body, selection);
    if (!std::holds_alternative<nlohmann::json>(read))
        return false;
    const nlohmann::json &chat = std::get<nlohmann::json>(read);
    const bool isWellFormed = chat.is_object() && chat.contains("messages")
                              && chat["messages"].is_array() && chat.contains("model")
                              && chat["model"].is_string();
    if (!isWellFormed)
        return false;
    details.model = ModelId(chat["model"].get<std::string>());
    details.prefixHash = prefixHashOf(chat);
    const auto maxTokens = chat.find("max_tokens");
    if (maxTokens == chat.end())
        return true;
    const bool isCount = maxTokens->is_number_integer() && maxTokens->get<std::int64_t>() > 0
                         && maxTokens->get<std::int64_t>() <= maxCostHint;
    if (!isCount)
        return false;
    details.costHint = Work(static_cast<double>(maxTokens->get<std::int64_t>()));
    return true;
}

} // namespace

std::string apiKeyDigest(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4]);
        hex.push_back(digits[byte & 15]);
    }
    return hex;
}

RequestValidator::RequestValidator(seconds keyWindow)
    : keyWindow_(keyWindow)
{}

void RequestValidator::onConfiguration(const ConfigurationState &state)
{
    accountByDigest_.clear();
    serviceByPath_.clear();
    for (const auto &[id, account] : state.accounts) {
        for (const std::string &digest : account.apiKeyDigests)
            accountByDigest_[digest] = id;
    }
    for (const auto &[id, service] : state.services)
        serviceByPath_[service.path] = service;
}

const Service *RequestValidator::findService(const std::string &path) const
{
    const auto exact = serviceByPath_.find(path);
    if (exact != serviceByPath_.end())
        return &exact->second;
    // A service path that ends with '/' matches all paths below it; the longest match wins.
    for (std::size_t slash = path.rfind('/'); slash != std::string::npos;
         slash = slash == 0 ? std::string::npos : path.rfind('/', slash - 1)) {
        const auto found = serviceByPath_.find(path.substr(0, slash + 1));
        if (found != serviceByPath_.end())
            return &found->second;
    }
    return nullptr;
}

ValidationResult RequestValidator::validate(const CallerRequest &request, WallTime now) const
{
    const std::string_view authorization = findHeader(request.headers, "authorization");
    if (!authorization.starts_with(bearerPrefix))
        return Refusal{RefusalReason::UnknownApiKey, Ran::No};
    const auto account =
            accountByDigest_.find(apiKeyDigest(authorization.substr(bearerPrefix.size())));
    if (account == accountByDigest_.end())
        return Refusal{RefusalReason::UnknownApiKey, Ran::No};
    const Service *service = findService(request.path);
    if (!service)
        return Refusal{RefusalReason::UnknownService, Ran::No};

    RequestDetails details;
    details.service = *service;
    details.flow = FlowId{account->second, details.service.name};
    details.fingerprint = fingerprintOf(details.flow, request.body);
    const bool isModel = details.service.kind == ServiceKind::Model;
    if (isModel && (request.method != "POST" || !readChat(request.body, details)))
        return Refusal{RefusalReason::MalformedRequest, Ran::No};
    if (const auto refusal = readHeaders(request, now, details))
        return *refusal;
    return details;
}

std::optional<Refusal> RequestValidator::readHeaders(const CallerRequest &request, WallTime now,
                                                     RequestDetails &details) const
{
    details.deadline = details.service.defaultDeadline;
    const std::string_view deadline = findHeader(request.headers, "x-deadline-ms");
    if (!deadline.empty()) {
        const auto parsed = parsePositive(deadline, maxDeadlineMs);
        if (!parsed)
            return Refusal{RefusalReason::MalformedRequest, Ran::No};
        details.deadline = milliseconds(*parsed);
    }
    const std::string_view costHint = findHeader(request.headers, "x-cost-hint");
    if (!costHint.empty()) {
        const auto parsed = parsePositive(costHint, maxCostHint);
        if (!parsed)
            return Refusal{RefusalReason::MalformedRequest, Ran::No};
        details.costHint = Work(static_cast<double>(*parsed));
    }
    if (details.service.repeatable)
        return std::nullopt;
    const std::string_view key = findHeader(request.headers, "idempotency-key");
    if (key.empty())
        return Refusal{RefusalReason::IdempotencyKeyMissing, Ran::No};
    details.idempotencyKey = IdempotencyKey(std::string(key));
    if (const auto reason = checkIdempotencyKey(details.idempotencyKey, now, keyWindow_)) {
        // A key that old was probably used before, and the record of its use may have expired.
        const Ran ran = *reason == RefusalReason::IdempotencyKeyTooOld ? Ran::Unknown : Ran::No;
        return Refusal{*reason, ran};
    }
    return std::nullopt;
}

} // namespace lovagecourse
