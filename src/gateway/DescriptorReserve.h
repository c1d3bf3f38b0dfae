#pragma once

#include <cstddef>

namespace lovagecourse {

/// Returns how many connections callers may have open in a process that may have this many file
/// descriptors; the rest is for servers, the store, peers, listeners and log files.
std::size_t callerDescriptors(std::size_t maxDescriptors);

/// Returns the process's soft limit on file descriptors (RLIMIT_NOFILE).
std::size_t processDescriptorLimit();

/// Returns how many idle connections of callers are closed when this many connections are open, so
/// that new ones find room. Handles callers that open connections and keep them.
std::size_t idleConnectionsToClose(std::size_t openConnections, std::size_t maxConnections);

} // namespace lovagecourse
