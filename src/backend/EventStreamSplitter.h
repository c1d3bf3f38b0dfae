#pragma once

#include <cstddef>
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

/// Returns the length of the first event with its end; npos if the text has no end of an event.
std::size_t firstEventLength(std::string_view text);

/// Splits a byte stream into complete events and buffers the incomplete rest, so that a stream can
/// be resumed between two events.
class EventStreamSplitter
{
public:
    /// Adds received bytes and returns the events that are complete now.
    CompleteEvents append(std::string_view bytes);
    /// Bytes after the last complete event.
    const std::string &rest() const { return pending_; }
    /// The rest has the beginning of an event, not only line breaks.
    bool isInsideEvent() const;

private:
    std::string pending_;
};

} // namespace lovagecourse
