#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Complete events of a server-sent event stream.
struct CompleteEvents
{
    std::string bytes;
    std::uint32_t count = 0;
    /// The last event is "[DONE]", which ends a complete answer.
    bool done = false;
};

/// Splits a byte stream into complete events and buffers the incomplete rest, so that a stream can
/// be resumed between two events.
class EventStreamSplitter
{
public:
    /// Adds received bytes and returns the events that are complete now.
    CompleteEvents append(std::string_view bytes);

private:
    std::string pending_;
};

} // namespace lovagecourse
