#include "backend/EventStreamSplitter.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr std::size_t maxEventEndBytes = 4;
// A buffer that grew for one large event is released after it.
constexpr std::size_t maxIdleCapacity = 16U << 10;
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

/// Returns the length of the end of an event, an empty line after any of the three line ends, at
/// the beginning of a text that begins with a line break; 0 if there is none.
std::size_t eventEndLength(std::string_view text)
{
    constexpr std::size_t shortEndBytes = 2;
    if (text.size() < shortEndBytes)
        return 0;
    if (text[0] == text[1])
        return shortEndBytes;
    const bool isLongEnd = text.size() >= maxEventEndBytes && text[0] == '\r' && text[1] == '\n'
                           && text[2] == '\r' && text[3] == '\n';
    return isLongEnd ? maxEventEndBytes : 0;
}

/// Returns the position after the first end of an event at or after from; npos if there is none.
/// Reads the text once, because a search for each of the ends takes several times as long for
/// events of usual length.
std::size_t findEventEnd(std::string_view text, std::size_t from)
{
    for (std::size_t i = from; i < text.size(); ++i) {
        if (text[i] != '\n' && text[i] != '\r')
            continue;
        if (const std::size_t length = eventEndLength(text.substr(i)))
            return i + length;
    }
    return std::string_view::npos;
}

} // namespace

std::size_t firstEventLength(std::string_view text)
{
    return findEventEnd(text, 0);
}

CompleteEvents EventStreamSplitter::append(std::string_view bytes)
{
    // The end of an event may be split across reads.
    const std::size_t overlap = maxEventEndBytes - 1;
    const std::size_t searchFrom = pending_.size() - std::min(pending_.size(), overlap);
    pending_.append(bytes);

    CompleteEvents complete;
    std::size_t completeEnd = 0;
    std::size_t found = findEventEnd(pending_, searchFrom);
    while (found != std::string::npos) {
        completeEnd = found;
        ++complete.count;
        found = findEventEnd(pending_, completeEnd);
    }
    complete.bytes = pending_.substr(0, completeEnd);
    complete.done = complete.bytes.ends_with(doneEvent);
    pending_.erase(0, completeEnd);
    if (pending_.capacity() > maxIdleCapacity && pending_.size() < maxIdleCapacity / 2)
        pending_.shrink_to_fit();
    return complete;
}

bool EventStreamSplitter::isInsideEvent() const
{
    return pending_.find_first_not_of("\r\n") != std::string::npos;
}

} // namespace lovagecourse
