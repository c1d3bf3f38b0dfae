#pragma once

#include "http/HttpClient.h"

#include <chrono>
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
    /// Longest time without a byte from the server, from the send to the end of the answer.
    std::chrono::nanoseconds longestSilence{0};
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

/// What the registration says of the server's run, compared with the run at the send.
enum class RunComparison : std::uint8_t {
    /// Not registered, or without a start time.
    Unknown,
    Same,
    Changed
};

/// What is known of a server after an answer of it has ended with its connection.
struct ServerEvidence
{
    /// A connection that was opened after the end was accepted.
    bool acceptsConnections = false;
    /// Longest time without a sign of the server, from the send to the accepted connection.
    std::chrono::nanoseconds longestSilence{0};
    RunComparison run = RunComparison::Unknown;
    /// The registration was read after the connection was accepted and a new run would be in it.
    bool isRegistrationNewer = false;
};

enum class ServerVerdict : std::uint8_t {
    /// The server's process is the one that sent the answer, so that it ended the answer itself.
    Stayed,
    /// Nothing tells the process from one that was started meanwhile.
    Unproven,
    Crashed
};

std::string_view toString(ServerVerdict verdict);

/// Judges whether a server stayed up through the end of its answer. An accepted connection is no
/// proof after a silence in which a process can restart: a broken link may hold back the end of the
/// crashed process's connection until the next run accepts connections.
ServerVerdict judgeServer(const ServerEvidence &evidence);

/// Writes the fields of a log line.
std::ostream &operator<<(std::ostream &line, const AnswerEvidence &evidence);

} // namespace lovagecourse
