#include "direct/AnswerCopy.h"

#include "core/Ascii.h"

#include <algorithm>

namespace lovagecourse {

namespace {

// Part of a body that is read as the head of a copy. A body may contain many status lines, and
// reading to its end from each of them would take quadratic time.
constexpr std::size_t maxHeadBytes = 4096;

constexpr std::string_view protocol = "HTTP/1.";

/// Returns the position of the next status line, such as "HTTP/1.1 200"; npos if there is none.
std::size_t findStatusLine(std::string_view bytes, std::size_t from)
{
    constexpr std::size_t statusBegin = protocol.size() + 2;
    constexpr std::size_t statusEnd = statusBegin + 3;
    while ((from = bytes.find(protocol, from)) != std::string_view::npos) {
        const std::string_view line = bytes.substr(from, statusEnd);
        if (line.size() == statusEnd && isDigit(line[protocol.size()])
            && line[statusBegin - 1] == ' '
            && std::all_of(line.begin() + statusBegin, line.end(), isDigit))
            return from;
        from += protocol.size();
    }
    return from;
}

/// Reads the header lines after a status line, up to a blank line or the end of the bytes.
HeaderList headersAfter(std::string_view bytes)
{
    HeaderList headers;
    std::size_t lineEnd = bytes.find('\n');
    while (lineEnd != std::string_view::npos) {
        bytes.remove_prefix(lineEnd + 1);
        lineEnd = bytes.find('\n');
        const std::string_view line = bytes.substr(0, lineEnd);
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            break;
        headers.emplace_back(toLower(line.substr(0, colon)), line.substr(colon + 1));
    }
    return headers;
}

} // namespace

bool containsStatusLine(std::string_view bytes)
{
    return findStatusLine(bytes, 0) != std::string_view::npos;
}

bool mayContainCopy(std::string_view body, BodyFraming framing, bool isConnectionReused,
                    const RequestCodec &codec)
{
    const bool isUnframed = framing == BodyFraming::ConnectionEnd;
    if (framing == BodyFraming::Chunked || (!isUnframed && !isConnectionReused))
        return false;
    for (std::size_t at = findStatusLine(body, 0); at != std::string_view::npos;
         at = findStatusLine(body, at + 1)) {
        const std::string_view head = body.substr(at, maxHeadBytes);
        if ((isUnframed && isConnectionReused) || codec.namesAttempt(headersAfter(head)))
            return true;
    }
    return false;
}

} // namespace lovagecourse
