#include "checking/FindingList.h"

#include "entry/RequestValidator.h"

namespace lovagecourse {

namespace {

constexpr std::size_t maxNameBytes = 200;
constexpr std::size_t hashDigits = 16;

/// Returns whether the byte continues a character in UTF-8.
bool isContinuation(char byte)
{
    return (static_cast<unsigned char>(byte) & 0xc0U) == 0x80U;
}

} // namespace

void FindingList::add(FindingKind kind, std::optional<FieldPlace> place, std::string_view subject,
                      std::string_view other)
{
    if (counts_[kind] >= maxOfOneKind)
        return;
    ++counts_[kind];
    findings_.push_back({kind, place, shortened(subject), shortened(other)});
}

std::string shortened(std::string_view name)
{
    if (name.size() <= maxNameBytes)
        return std::string(name);
    std::size_t end = maxNameBytes;
    while (end > 0 && isContinuation(name[end]))
        --end;
    const std::string hash = apiKeyDigest(name).substr(0, hashDigits);
    return std::string(name.substr(0, end)) + "... (SHA-256 " + hash + ")";
}

} // namespace lovagecourse
