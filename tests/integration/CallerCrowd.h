#pragma once

#include "integration/LoopbackConnection.h"
#include "integration/Process.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace lovagecourse::test {

/// max_memory_mb of the processes under test, and the bound on their resident memory. The crowds
/// below offer 1.5 to 5 times this memory, and an idle router uses about a fifth of it.
constexpr unsigned maxMemoryMb = 96;
/// Bound on the open descriptors: the largest crowd, its connections to the server, and those of an
/// idle router.
constexpr std::size_t maxDescriptors = 600;

/// Answers one request of which the head and the body bytes that came with it were read; returns
/// false to close the connection.
using ServerAnswer = std::function<bool(LoopbackConnection &connection, RawMessage &request)>;

/// Where a crowd of clients sends its requests.
struct CrowdTarget
{
    std::string endpoint;
    /// Returns the head of a request without the blank line at its end.
    std::function<std::string(const std::string &path)> requestHead;
    /// Loopback address of the clients; empty for the system's choice.
    std::string source;
    /// The number of clients of each crowd is divided by this.
    int crowdDivisor = 1;
};

/// Clients that all send at the same time and stay connected.
using Crowd = std::vector<LoopbackConnection>;

/// Sends one body of the largest legal size and reads its answer.
bool isLargeBodyServed(const CrowdTarget &target);
/// Sends a large body from another address while one address holds the memory with bodies that make
/// progress; returns whether it is served.
bool isOtherAddressServed(const CrowdTarget &target);
/// Sends whole bodies of the largest legal size.
Crowd sendLargeBodies(const CrowdTarget &target);
/// Sends large bodies in pieces and stops before their end.
Crowd sendUnfinishedBodies(const CrowdTarget &target);
Crowd sendExcessiveAnnouncedBodies(const CrowdTarget &target);
Crowd sendExcessiveChunkedBodies(const CrowdTarget &target);
/// Sends chunked bodies of legal size without their last chunk.
Crowd sendUnfinishedLargeChunks(const CrowdTarget &target);
Crowd sendUnfinishedSmallChunks(const CrowdTarget &target);
Crowd sendUnfinishedHeads(const CrowdTarget &target);
/// Requests answers of 3 MB and reads none.
Crowd leaveAnswersUnread(const CrowdTarget &target);
/// Requests streams and reads a byte of each per second, for 4 s.
Crowd readStreamsSlowly(const CrowdTarget &target);
/// Connects and sends nothing.
Crowd staySilent(const CrowdTarget &target);
Crowd requestEndlessAnswers(const CrowdTarget &target);
/// Sends whole bodies to a server that reads them slowly.
Crowd sendToSlowServer(const CrowdTarget &target);

ServerAnswer largeAnswer();
ServerAnswer streamAnswer();
ServerAnswer endlessAnswer(const std::function<bool()> &isStopping);
ServerAnswer slowReader(const std::function<bool()> &isStopping);

/// Checks what must hold while a crowd's connections are still open: the processes run, serve an
/// ordinary request, and are within the bounds of memory and descriptors.
void requireBounded(const std::vector<Process *> &processes,
                    const std::function<bool()> &servesRequest);

} // namespace lovagecourse::test
