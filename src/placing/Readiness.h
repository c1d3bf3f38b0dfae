#pragma once

#include <string>

namespace lovagecourse {

/// What decides whether a process may get callers.
struct ReadinessInput
{
    bool hasConfiguration = false;
    /// All registrations of servers were read at least once.
    bool hasServers = false;
    /// The process was told to stop.
    bool isStopping = false;
    /// The event loop is delayed by the process's own work.
    bool isOverloaded = false;
    /// The process has left the balancer's rotation for a time (RotationPause).
    bool isPaused = false;

    bool operator==(const ReadinessInput &) const = default;
};

/// Load: processes that start, stop or are overloaded while callers go on arriving. One that can't
/// handle a request must not get it.
bool isReady(const ReadinessInput &input);

/// Names of all reasons why a process is not ready, separated by commas; empty if it is ready.
std::string reasonsNotReady(const ReadinessInput &input);

} // namespace lovagecourse
