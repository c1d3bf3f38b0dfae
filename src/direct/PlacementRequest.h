#pragma once

#include "core/Ids.h"
#include "placing/PlacementChoice.h"
#include "placing/PrefixCacheModel.h"
#include "placing/StreamOrigins.h"
#include "wire/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace lovagecourse {

/// Properties of a request by which a server is chosen.
struct PlacementRequest
{
    ServiceId service;
    std::vector<PromptPrefix> prompt;
    double promptTokens = 0;
    /// Expected output.
    double outputTokens = 0;
    double objectiveMs = 0;
    /// Servers that the request must not be sent to again.
    std::set<ServerId> excluded;
    /// The stream that the request goes on with was begun by this version.
    std::optional<VersionHash> version;
    /// Choose by chooseFastest() instead of choosePlacement().
    bool isSecondChoice = false;
};

/// Chosen server with the predictions that the choice was based on.
struct Placement
{
    ServerId server;
    Endpoint address;
    SoftwareVersion version;
    /// Tokens of the prompt that the server must prefill.
    double uncachedTokens = 0;
    /// Tokens of the prompt that are expected in the server's prompt cache.
    double cachedTokens = 0;
    /// Expected output.
    double outputTokens = 0;
    PlacementCandidate prediction;
    /// Number of servers that were compared, and the mean of their waits in ms, each capped at the
    /// objective.
    std::size_t candidateCount = 0;
    double meanWaitMs = 0;
    /// Age of the list of servers at the choice.
    std::chrono::nanoseconds listAge{0};
};

} // namespace lovagecourse
