#include "backend/EventStreamSplitter.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

} // namespace

WholeEvents EventStreamSplitter::append(std::string_view bytes)
{
    // An event's end may be split over two reads.
    const std::size_t overlap = eventEnd.size() - 1;
    std::size_t searchFrom = pending_.size() - std::min(pending_.size(), overlap);
    pending_.append(bytes);

    WholeEvents whole;
    std::size_t wholeEnd = 0;
    std::size_t found = pending_.find(eventEnd, searchFrom);
    while (found != std::string::npos) {
        wholeEnd = found + eventEnd.size();
        ++whole.count;
        found = pending_.find(eventEnd, wholeEnd);
    }
    whole.bytes = pending_.substr(0, wholeEnd);
    whole.done = whole.bytes.ends_with(doneEvent);
    pending_.erase(0, wholeEnd);
    return whole;
}

} // namespace lovagecourse
