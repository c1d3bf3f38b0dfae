#pragma once

#include <xxhash.h>

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

// The functions are inline because tests use them without linking the stand-ins.

namespace lovagecourse {

/// Digest of a prompt: the contents of all messages, joined by line feeds.
inline std::uint64_t promptDigest(std::string_view prompt)
{
    return XXH3_64bits(prompt.data(), prompt.size());
}

/// Text of one token. It depends only on the prompt's digest and the index, so that all engines
/// give the same answer to a prompt.
inline std::string answerToken(std::uint64_t digest, std::uint64_t index)
{
    const std::uint64_t hash = XXH3_64bits_withSeed(&digest, sizeof(digest), index);
    char text[16];
    std::snprintf(text, sizeof(text), "w%08x ", static_cast<unsigned>(hash >> 32U));
    return text;
}

/// Tokens firstToken to tokenCount - 1 of the answer to a prompt.
inline std::string expectedAnswer(std::string_view prompt, std::uint64_t tokenCount,
                                  std::uint64_t firstToken = 0)
{
    const std::uint64_t digest = promptDigest(prompt);
    std::string answer;
    for (std::uint64_t index = firstToken; index < tokenCount; ++index)
        answer += answerToken(digest, index);
    return answer;
}

} // namespace lovagecourse
