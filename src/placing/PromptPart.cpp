#include "placing/PromptPart.h"

#include <xxhash.h>

namespace lovagecourse {

std::vector<PromptPrefix> makePrefixes(std::uint64_t modelHash,
                                       const std::vector<PromptPart> &parts)
{
    std::vector<PromptPrefix> prefixes;
    prefixes.reserve(parts.size());
    std::uint64_t hash = modelHash;
    for (const PromptPart &part : parts) {
        hash = XXH64(&part.id, sizeof(part.id), hash);
        prefixes.push_back(PromptPrefix{hash, part.tokens});
    }
    return prefixes;
}

std::vector<std::uint64_t> sharedPartHashes(const std::vector<PromptPart> &parts)
{
    std::vector<std::uint64_t> hashes;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        hashes.push_back(XXH64(&parts[i].id, sizeof(parts[i].id), 0));
    return hashes;
}

} // namespace lovagecourse
