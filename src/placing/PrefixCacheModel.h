#pragma once

#include "placing/PromptPart.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Predicts which prompt prefixes one server has in its KV cache, from the prompts that all routers
/// sent to it. Servers evict the least recently used prefix when their memory is full, so age is
/// measured in uncached tokens sent to the server, not in time.
class PrefixCacheModel
{
public:
    /// Leading tokens of the prompt that are expected in the cache, so that their prefill is
    /// skipped. roomTokens: what running requests leave of the memory, from prefixCacheRoom().
    double cachedTokens(const std::vector<PromptPrefix> &prompt, double roomTokens) const;
    /// True if the prefix was sent to the server and its entry is kept, even if it has expired.
    bool contains(std::uint64_t hash) const { return lastUse_.contains(hash); }
    /// True if other routers need a report that the prefix is used (again): it is not in this
    /// model, or so many tokens were sent since its last use that other routers would soon consider
    /// it evicted.
    bool shouldReport(std::uint64_t hash, double capacityTokens) const;
    /// This router sent the prompt to the server. keptTokens: entries of this age or older are
    /// removed. It must not depend on the running requests: their end makes room again, and what
    /// the server has evicted meanwhile is not known.
    void insert(const std::vector<PromptPrefix> &prompt, double roomTokens, double keptTokens);
    /// Another router reported that it sent a prompt with this prefix.
    void insertReported(std::uint64_t hash);
    /// Other routers sent this many uncached tokens; their prefixes may not be reported.
    void addPeerTokens(double tokens) { sentTokens_ += tokens; }
    /// The server restarted with an empty cache.
    void clear() { lastUse_.clear(); }
    std::size_t size() const { return lastUse_.size(); }

private:
    bool isCached(std::uint64_t hash, double roomTokens) const;
    void removeExpired(double keptTokens);
    /// Removes the older half of the entries, and those of the same age, when there are too many.
    void limitEntries();

    /// Value of sentTokens_ at the last use of each prefix, by its hash.
    std::unordered_map<std::uint64_t, double> lastUse_;
    /// Uncached tokens that all routers sent to the server.
    double sentTokens_ = 0;
    std::size_t nextSweepSize_ = 0;
};

} // namespace lovagecourse
