#pragma once

#include <cstdint>
#include <vector>

namespace lovagecourse {

/// One of the consecutive parts of a prompt.
struct PromptPart
{
    /// Identifies the text of the part; equal in all prompts that share it.
    std::uint64_t id = 0;
    double tokens = 0;
};

/// Prefix of a prompt, up to and including one part.
struct PromptPrefix
{
    /// Hash of all parts up to this one.
    std::uint64_t hash = 0;
    /// Tokens of the last part alone.
    double tokens = 0;
};

/// The prefixes of a prompt, shortest first. A cached part can be reused only for the same model
/// and after the same preceding parts, so the hash covers the model and all parts of the prefix.
std::vector<PromptPrefix> makePrefixes(std::uint64_t modelHash,
                                       const std::vector<PromptPart> &parts);

/// Returns hashes of the parts by themselves, without the last one, which belongs to the request or
/// its session.
std::vector<std::uint64_t> sharedPartHashes(const std::vector<PromptPart> &parts);

} // namespace lovagecourse
