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

enum class AnswerVerdict : std::uint8_t {
    Whole,
    /// Only the end of the connection says that the answer is whole; a crash looks the same.
    Unproven,
    Broken
};

std::string_view toString(AnswerVerdict verdict);

/// Judges a success whose connection ended without an error.
AnswerVerdict judgeAnswer(const AnswerEvidence &evidence);

/// Writes the fields of a log line.
std::ostream &operator<<(std::ostream &line, const AnswerEvidence &evidence);

} // namespace lovagecourse
