#pragma once

#include "integration/CallerCrowd.h"
#include "integration/Process.h"

#include <atomic>
#include <thread>
#include <vector>

namespace lovagecourse::test {

/// Crowds of all forms of misbehaving clients at the same time. Each crowd repeats: it connects,
/// sends, stays connected for a while and closes its connections.
class MixedClients
{
public:
    explicit MixedClients(const CrowdTarget &target);
    ~MixedClients();
    MixedClients(const MixedClients &) = delete;
    MixedClients &operator=(const MixedClients &) = delete;

    /// Lets the clients run for the time in MIXED_CLIENTS_SECONDS (10 s if it is not set), and
    /// checks all the time that the processes run within the bound of descriptors.
    void run(const std::vector<Process *> &processes);

private:
    void repeat(Crowd (*form)(const CrowdTarget &));

    CrowdTarget target_;
    std::atomic<bool> isStopping_ = false;
    std::atomic<bool> isClosing_ = false;
    std::atomic<int> running_ = 0;
    std::vector<std::thread> threads_;
};

/// Answers of a server for all forms: large ones and streams for the clients that request them,
/// "ok" for the others.
ServerAnswer mixedAnswer();

} // namespace lovagecourse::test
