#include "placing/PrefixCacheModel.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Expired entries are removed when the number of entries has doubled since the last removal.
constexpr std::size_t minSweepSize = 1024;
// After this part of the capacity was sent to the server, a further use of a prefix is reported.
constexpr double reportAgeShare = 0.1;
// Parts of a prompt may have few tokens or none, by the client's word, and then expire late or
// never. An engine's memory of 1.3 million tokens holds fewer parts of 160 tokens than this.
constexpr std::size_t maxEntries = 8192;

} // namespace

bool PrefixCacheModel::isCached(std::uint64_t hash, double roomTokens) const
{
    const auto found = lastUse_.find(hash);
    return found != lastUse_.end() && sentTokens_ - found->second < roomTokens;
}

double PrefixCacheModel::cachedTokens(const std::vector<PromptPrefix> &prompt,
                                      double roomTokens) const
{
    double cached = 0;
    for (const PromptPrefix &prefix : prompt) {
        if (!isCached(prefix.hash, roomTokens))
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

void PrefixCacheModel::insert(const std::vector<PromptPrefix> &prompt, double roomTokens,
                              double keptTokens)
{
    for (const PromptPrefix &prefix : prompt) {
        if (!isCached(prefix.hash, roomTokens))
            sentTokens_ += prefix.tokens;
    }
    for (const PromptPrefix &prefix : prompt)
        lastUse_[prefix.hash] = sentTokens_;
    removeExpired(keptTokens);
    limitEntries();
}

void PrefixCacheModel::insertReported(std::uint64_t hash)
{
    lastUse_[hash] = sentTokens_;
    limitEntries();
}

void PrefixCacheModel::removeExpired(double keptTokens)
{
    if (lastUse_.size() < std::max(minSweepSize, nextSweepSize_))
        return;
    std::erase_if(lastUse_,
                  [&](const auto &entry) { return sentTokens_ - entry.second >= keptTokens; });
    nextSweepSize_ = 2 * lastUse_.size();
}

void PrefixCacheModel::limitEntries()
{
    if (lastUse_.size() <= maxEntries)
        return;
    std::vector<double> uses;
    uses.reserve(lastUse_.size());
    for (const auto &[hash, use] : lastUse_)
        uses.push_back(use);
    const auto middle = uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
    std::nth_element(uses.begin(), middle, uses.end());
    std::erase_if(lastUse_, [&](const auto &entry) { return entry.second <= *middle; });
}

} // namespace lovagecourse
