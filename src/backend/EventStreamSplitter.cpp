#include "backend/EventStreamSplitter.h"

#include <algorithm>
#include <array>

namespace lovagecourse {

namespace {

// An event ends with an empty line, after any of the three line ends.
constexpr std::array<std::string_view, 3> eventEnds{"\n\n", "\r\n\r\n", "\r\r"};
constexpr std::size_t maxEventEndBytes = 4;
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

/// Returns the position after the first end of an event at or after from; npos if there is none.
std::size_t findEventEnd(std::string_view text, std::size_t from)
{
    std::size_t first = std::string_view::npos;
    for (const std::string_view end : eventEnds) {
        // Searches only before an end that was found already.
        const std::size_t found = text.substr(0, first).find(end, from);
        if (found != std::string_view::npos)
            first = found + end.size();
    }
    return first;
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
    return complete;
}

bool EventStreamSplitter::isInsideEvent() const
{
    return pending_.find_first_not_of("\r\n") != std::string::npos;
}

} // namespace lovagecourse
