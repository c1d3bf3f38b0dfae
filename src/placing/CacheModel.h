#pragma once

#include "placing/PromptPart.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// Which beginnings of prompts one engine is expected to keep, from what the fleet sent there.
/// The engine drops the least recently used part when its memory is full, so age is measured in
/// tokens that were sent to it, not in time.
class CacheModel
{
public:
    /// Leading tokens of the prompt that the engine need not read.
    double keptTokens(const std::vector<PromptPrefix> &prompt, double capacityTokens) const;
    /// Other daemons would soon expect the engine to have dropped this beginning, unless they are
    /// told that it is used again.
    bool isWorthTelling(std::uint64_t hash, double capacityTokens) const;
    /// The prompt was sent to the engine.
    void insert(const std::vector<PromptPrefix> &prompt, double capacityTokens);
    /// Another daemon sent a prompt with this beginning.
    void insertSeen(std::uint64_t hash);
    /// Other daemons sent tokens that this one has no parts of.
    void advance(double tokens) { sentTokens_ += tokens; }
    /// The engine restarted.
    void clear() { lastUse_.clear(); }
    std::size_t size() const { return lastUse_.size(); }

private:
    bool isKept(std::uint64_t hash, double capacityTokens) const;
    void dropOld(double capacityTokens);

    /// Value of sentTokens_ at the last use of each beginning.
    std::unordered_map<std::uint64_t, double> lastUse_;
    double sentTokens_ = 0;
    std::size_t nextSweepSize_ = 0;
};

} // namespace lovagecourse
