#pragma once

#include <cstdint>
#include <vector>

namespace lovagecourse {

/// One part of a prompt, in order.
struct PromptPart
{
    std::uint64_t id = 0;
    double tokens = 0;
};

/// Beginning of a prompt up to and with one part.
struct PromptPrefix
{
    /// Hash of all parts up to this one.
    std::uint64_t hash = 0;
    /// Tokens of the last part alone.
    double tokens = 0;
};

/// The beginnings of a prompt, shortest first. An engine keeps a part only for the same model
/// behind the same parts, so the hash covers all of them.
std::vector<PromptPrefix> makePrefixes(std::uint64_t modelHash,
                                       const std::vector<PromptPart> &parts);

} // namespace lovagecourse
