#include "gateway/RequestHead.h"

#include "core/Ascii.h"

#include <algorithm>
#include <strings.h>

namespace lovagecourse {

namespace {

constexpr std::string_view lineEnd = "\r\n";

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

bool isWhiteSpace(char letter)
{
    return letter == ' ' || letter == '\t';
}

bool hasName(std::string_view name, const char *expected)
{
    return name.size() == std::char_traits<char>::length(expected)
           && strncasecmp(name.data(), expected, name.size()) == 0;
}

/// Returns whether the parsed parts, with one delimiter of the right length between each two, are
/// the whole head. The library ends lines at a bare CR or LF, cuts values at NUL, joins folded
/// lines to a name and ends the head at a line without a name; each of them leaves a gap or an
/// overlap.
bool coversAllBytes(const RequestHead &head)
{
    const char *next = head.bytes.data();
    const auto take = [&next](std::string_view part, std::size_t delimiter) {
        const bool follows = part.data() == next;
        next = part.data() + part.size() + delimiter;
        return follows;
    };
    const std::string_view target(head.method.data() + head.method.size() + 1, head.target.size());
    if (!take(head.method, 1) || !take(target, 1) || !take(head.version, lineEnd.size()))
        return false;
    for (const auto &[name, value] : head.fields) {
        if (!take(name, 1) || value.data() < next || !std::all_of(next, value.data(), isWhiteSpace))
            return false;
        next = value.data() + value.size() + lineEnd.size();
    }
    return next + lineEnd.size() == head.bytes.data() + head.bytes.size();
}

bool isFramingValid(const RequestHead &head)
{
    std::size_t framings = 0;
    for (const auto &[name, value] : head.fields) {
        if (hasName(name, "content-length")) {
            ++framings;
            // Larger numbers than any body need no more digits, and overflow.
            constexpr std::size_t maxDigits = 18;
            if (value.empty() || value.size() > maxDigits
                || !std::all_of(value.begin(), value.end(), isDigit))
                return false;
        } else if (hasName(name, "transfer-encoding")) {
            ++framings;
            if (!hasName(value, "chunked") || head.version != "HTTP/1.1")
                return false;
        }
    }
    return framings <= 1;
}

} // namespace

std::string_view toString(HeadFault fault)
{
    switch (fault) {
    case HeadFault::RequestLine:
        return "request-line";
    case HeadFault::Name:
        return "name";
    case HeadFault::Value:
        return "value";
    case HeadFault::Layout:
        return "layout";
    case HeadFault::Framing:
        return "framing";
    case HeadFault::Host:
        return "host";
    }
    return {};
}

std::optional<HeadFault> findFault(const RequestHead &head)
{
    const auto isForbidden = [](char letter) { return letter == ' ' || isControl(letter); };
    if (!isToken(head.method) || head.target.empty()
        || std::any_of(head.target.begin(), head.target.end(), isForbidden))
        return HeadFault::RequestLine;
    std::size_t hosts = 0;
    for (const auto &[name, value] : head.fields) {
        if (!isToken(name))
            return HeadFault::Name;
        if (std::any_of(value.begin(), value.end(),
                        [](char letter) { return letter != '\t' && isControl(letter); }))
            return HeadFault::Value;
        hosts += hasName(name, "host") ? 1 : 0;
    }
    if (!coversAllBytes(head))
        return HeadFault::Layout;
    if (!isFramingValid(head))
        return HeadFault::Framing;
    return hosts > 1 ? std::optional(HeadFault::Host) : std::nullopt;
}

} // namespace lovagecourse
