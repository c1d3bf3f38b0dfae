#include "placing/EngineMemory.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Weight of one request in the mean: about the last 20 count.
constexpr double meanTokensWeight = 0.05;
// Estimates are right at the median; the mean output is larger, because the errors are skewed.
constexpr double lengthHintAllowance = 1.25;
// Upper bound of the cached prefixes' part. Hot prefixes are never evicted, but PrefixCacheModel
// measures age in uncached tokens only and does not subtract them.
constexpr double maxCacheShare = 0.7;
// Part of the memory that requests may fill. The rest is for requests of other routers that are
// not reported yet and for outputs longer than expected.
constexpr double maxRunningShare = 0.9;

// One request counts as at most this part of the memory, so that a client that announces an absurd
// output length does not make an engine look full.
constexpr double maxRequestShare = 0.25;

} // namespace

void MeanRequestTokens::add(double tokens)
{
    mean_ += (isEmpty_ ? 1 : meanTokensWeight) * (tokens - mean_);
    isEmpty_ = false;
}

void EngineMemory::onSent(SendNumber number, double tokens)
{
    if (sends_.emplace(number, tokens).second)
        ownTokens_ += tokens;
}

void EngineMemory::onEnded(SendNumber number)
{
    const auto found = sends_.find(number);
    if (found == sends_.end())
        return;
    ownTokens_ -= found->second;
    sends_.erase(found);
    // Removes the rounding errors of the sum.
    if (sends_.empty())
        ownTokens_ = 0;
}

void EngineMemory::clear()
{
    sends_.clear();
    ownTokens_ = 0;
}

double EngineMemory::runningTokens(unsigned peerRunning, double meanTokens, unsigned slots) const
{
    const double tokens = ownTokens_ + peerRunning * meanTokens;
    const double requests = static_cast<double>(sends_.size()) + peerRunning;
    return slots > 0 && requests > slots ? tokens * slots / requests : tokens;
}

double expectedOutputTokens(double lengthHint, double maxOutput)
{
    if (lengthHint <= 0)
        return maxOutput;
    const double expected = lengthHintAllowance * lengthHint;
    return maxOutput > 0 ? std::min(expected, maxOutput) : expected;
}

double requestTokens(double uncachedTokens, double outputTokens, double capacityTokens)
{
    return std::min(uncachedTokens + outputTokens, maxRequestShare * capacityTokens);
}

double prefixCacheRoom(double capacityTokens, double runningTokens)
{
    return std::clamp(capacityTokens - runningTokens, 0., maxPrefixCacheRoom(capacityTokens));
}

double maxPrefixCacheRoom(double capacityTokens)
{
    return maxCacheShare * capacityTokens;
}

bool exceedsMemory(double capacityTokens, double runningTokens, double promptTokens,
                   double outputTokens)
{
    if (capacityTokens <= 0)
        return false;
    const double tokens = requestTokens(promptTokens, outputTokens, capacityTokens);
    return runningTokens + tokens > maxRunningShare * capacityTokens;
}

} // namespace lovagecourse
