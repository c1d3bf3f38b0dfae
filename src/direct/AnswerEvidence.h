#pragma once

#include "http/HttpClient.h"

#include <cstdint>
#include <ostream>

namespace lovagecourse {

/// What is known of a server's answer when its connection delivers no more bytes.
struct AnswerEvidence
{
    BodyFraming framing = BodyFraming::Length;
    bool isConnectionReused = false;
    bool isEventStream = false;
    /// Whole events of a stream.
    std::uint64_t eventCount = 0;
    /// A stream's last bytes do not end an event.
    bool isInsideEvent = false;
};

/// Writes the fields of a log line.
std::ostream &operator<<(std::ostream &line, const AnswerEvidence &evidence);

} // namespace lovagecourse
