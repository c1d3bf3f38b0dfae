#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Whole events of a server-sent event stream.
struct WholeEvents
{
    std::string bytes;
    std::uint32_t count = 0;
    /// The last of them is the "[DONE]" event, which ends a whole answer.
    bool done = false;
};

/// Cuts a stream of bytes into whole events, so that a stream can resume between two of them.
class EventStreamSplitter
{
public:
    /// Takes bytes and gives out the events that are whole now.
    WholeEvents append(std::string_view bytes);

private:
    std::string pending_;
};

} // namespace lovagecourse
