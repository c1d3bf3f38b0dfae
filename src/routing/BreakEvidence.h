#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace lovagecourse {

/// End of an idle connection to a backend server.
struct IdleEnd
{
    TimePoint establishedAt;
    /// Latest time at which the server's side may have ended it.
    TimePoint endedAt;
    /// When this process noticed the end, which is later when the process is late.
    TimePoint noticedAt;
};

/// Result of a probe on a new connection, sent after a break.
enum class ProbeResult : std::uint8_t {
    Answered,
    /// The server's host refused the connection: no process listens.
    Refused,
    /// Neither an answer nor a refusal within the time limit; the server may be slow or suspended.
    Silent
};

/// What is known after the connection of a request to a backend server broke.
struct BreakEvidence
{
    /// When the request's connection was ready; no byte of it was sent before. Empty if no
    /// connection was made.
    std::optional<TimePoint> connectedAt;
    /// When this process noticed the break.
    TimePoint brokenAt;
    ProbeResult probe = ProbeResult::Silent;
    /// Latest ends of idle connections to the server, in order of the time at which they were
    /// noticed.
    std::vector<IdleEnd> idleEnds;
    /// When the oldest idle connection that is still open was established; empty if there is none.
    std::optional<TimePoint> oldestOpenIdle;
};

/// The server's process crashed under the request, at the given time at the latest.
struct ServerCrashed
{
    TimePoint at;
};

/// The process that got the request still runs.
struct ServerRuns
{};

/// Neither is known.
struct ServerStateUnknown
{};

using BreakVerdict = std::variant<ServerCrashed, ServerRuns, ServerStateUnknown>;

/// Decides what happened to the server's process. A refused probe proves a crash. A server that
/// restarts within milliseconds answers the probe; then the crash shows in two idle connections of
/// different ages that ended together with that of the request, or in one that was too young for an
/// idle timeout. A single older one may have ended by the server's idle timeout. An idle connection
/// from before the break that is still open proves that the process runs.
BreakVerdict judgeBreak(const BreakEvidence &evidence);

/// Returns whether a request was sent to the process that crashed. A request whose connection was
/// ready only after the crash went to the next process.
bool ranAtCrash(std::optional<TimePoint> connectedAt, TimePoint crashedAt);

} // namespace lovagecourse
