#include "placing/PrefixCacheModel.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Running requests occupy the memory too, so servers evict before prompts alone fill it.
constexpr double usableCacheShare = 0.7;
// Evicted entries are removed when the number of entries has doubled since the last removal.
constexpr std::size_t minSweepSize = 1024;

// After this part of the capacity was sent to the server, a further use of a prefix is reported.
constexpr double reportAgeShare = 0.1;

} // namespace

bool PrefixCacheModel::isCached(std::uint64_t hash, double capacityTokens) const
{
    const auto found = lastUse_.find(hash);
    return found != lastUse_.end()
           && sentTokens_ - found->second < capacityTokens * usableCacheShare;
}

double PrefixCacheModel::cachedTokens(const std::vector<PromptPrefix> &prompt,
                                      double capacityTokens) const
{
    double cached = 0;
    for (const PromptPrefix &prefix : prompt) {
        if (!isCached(prefix.hash, capacityTokens))
            break;
        cached += prefix.tokens;
    }
    return cached;
}

bool PrefixCacheModel::shouldReport(std::uint64_t hash, double capacityTokens) const
{
    const auto found = lastUse_.find(hash);
    return found == lastUse_.end()
           || sentTokens_ - found->second >= capacityTokens * reportAgeShare;
}

void PrefixCacheModel::insert(const std::vector<PromptPrefix> &prompt, double capacityTokens)
{
    for (const PromptPrefix &prefix : prompt) {
        if (!isCached(prefix.hash, capacityTokens))
            sentTokens_ += prefix.tokens;
    }
    for (const PromptPrefix &prefix : prompt)
        lastUse_[prefix.hash] = sentTokens_;
    evictExpired(capacityTokens);
}

void PrefixCacheModel::insertReported(std::uint64_t hash)
{
    lastUse_[hash] = sentTokens_;
}

void PrefixCacheModel::evictExpired(double capacityTokens)
{
    if (lastUse_.size() < std::max(minSweepSize, nextSweepSize_))
        return;
    std::erase_if(lastUse_, [&](const auto &entry) {
        return sentTokens_ - entry.second >= capacityTokens * usableCacheShare;
    });
    nextSweepSize_ = 2 * lastUse_.size();
}

} // namespace lovagecourse
