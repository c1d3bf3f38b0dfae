#include "placing/CacheModel.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Running requests take memory too, so the engine forgets sooner than by prompts alone.
constexpr double usableShare = 0.7;
// Entries are swept when their number has doubled since the last sweep.
constexpr std::size_t minSweepSize = 1024;

// Part of the memory that may be sent to the engine until other daemons are told of a further use.
constexpr double tellShare = 0.1;

} // namespace

bool CacheModel::isKept(std::uint64_t hash, double capacityTokens) const
{
    const auto found = lastUse_.find(hash);
    return found != lastUse_.end() && sentTokens_ - found->second < capacityTokens * usableShare;
}

double CacheModel::keptTokens(const std::vector<PromptPrefix> &prompt, double capacityTokens) const
{
    double kept = 0;
    for (const PromptPrefix &prefix : prompt) {
        if (!isKept(prefix.hash, capacityTokens))
            break;
        kept += prefix.tokens;
    }
    return kept;
}

bool CacheModel::isWorthTelling(std::uint64_t hash, double capacityTokens) const
{
    const auto found = lastUse_.find(hash);
    return found == lastUse_.end() || sentTokens_ - found->second >= capacityTokens * tellShare;
}

void CacheModel::insert(const std::vector<PromptPrefix> &prompt, double capacityTokens)
{
    for (const PromptPrefix &prefix : prompt) {
        if (!isKept(prefix.hash, capacityTokens))
            sentTokens_ += prefix.tokens;
    }
    for (const PromptPrefix &prefix : prompt)
        lastUse_[prefix.hash] = sentTokens_;
    dropOld(capacityTokens);
}

void CacheModel::insertSeen(std::uint64_t hash)
{
    lastUse_[hash] = sentTokens_;
}

void CacheModel::dropOld(double capacityTokens)
{
    if (lastUse_.size() < std::max(minSweepSize, nextSweepSize_))
        return;
    std::erase_if(lastUse_, [&](const auto &entry) {
        return sentTokens_ - entry.second >= capacityTokens * usableShare;
    });
    nextSweepSize_ = 2 * lastUse_.size();
}

} // namespace lovagecourse
