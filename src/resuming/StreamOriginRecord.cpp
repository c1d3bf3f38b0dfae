#include "resuming/StreamOriginRecord.h"

namespace lovagecourse {

namespace {

constexpr std::size_t attemptBytes = 8;
constexpr std::size_t versionBytes = 4;
constexpr unsigned bitsPerByte = 8;

void append(std::string &text, std::uint64_t number, std::size_t bytes)
{
    for (std::size_t i = bytes; i > 0; --i)
        text += static_cast<char>(number >> (bitsPerByte * (i - 1)));
}

std::uint64_t take(std::string_view &text, std::size_t bytes)
{
    std::uint64_t number = 0;
    for (const unsigned char byte : text.substr(0, bytes))
        number = number << bitsPerByte | byte;
    text.remove_prefix(bytes);
    return number;
}

} // namespace

std::string formatStreamOrigins(std::span<const StreamOrigin> origins)
{
    std::string text;
    text.reserve(origins.size() * (attemptBytes + versionBytes));
    for (const StreamOrigin &origin : origins) {
        append(text, origin.attempt.value, attemptBytes);
        append(text, origin.version.value, versionBytes);
    }
    return text;
}

std::vector<StreamOrigin> parseStreamOrigins(std::string_view text)
{
    std::vector<StreamOrigin> origins;
    while (text.size() >= attemptBytes + versionBytes) {
        const AttemptHash attempt(take(text, attemptBytes));
        const VersionHash version(static_cast<std::uint32_t>(take(text, versionBytes)));
        origins.push_back({attempt, version});
    }
    return origins;
}

} // namespace lovagecourse
