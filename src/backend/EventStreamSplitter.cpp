#include "backend/EventStreamSplitter.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view doneEvent = "data: [DONE]\n\n";

} // namespace

CompleteEvents EventStreamSplitter::append(std::string_view bytes)
{
    // The separator after an event may be split across two reads.
    const std::size_t overlap = eventEnd.size() - 1;
    std::size_t searchFrom = pending_.size() - std::min(pending_.size(), overlap);
    pending_.append(bytes);

    CompleteEvents complete;
    std::size_t completeEnd = 0;
    std::size_t found = pending_.find(eventEnd, searchFrom);
    while (found != std::string::npos) {
        completeEnd = found + eventEnd.size();
        ++complete.count;
        found = pending_.find(eventEnd, completeEnd);
    }
    complete.bytes = pending_.substr(0, completeEnd);
    complete.done = complete.bytes.ends_with(doneEvent);
    pending_.erase(0, completeEnd);
    return complete;
}

} // namespace lovagecourse
