#pragma once

#include "integration/CallerCrowd.h"
#include "integration/Fleet.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace lovagecourse::test {

/// One entry and the agent of one scripted server, with lowered limits. Below "/trials/ordinary",
/// the server answers "ok"; other requests get the given answer.
class EntryHost
{
public:
    explicit EntryHost(ServerAnswer answer);
    ~EntryHost();
    EntryHost(const EntryHost &) = delete;
    EntryHost &operator=(const EntryHost &) = delete;

    CrowdTarget target() const;
    /// The entry and the agent.
    std::vector<Process *> processes() const;
    /// See CallerCrowd.h; for the entry and the agent.
    void requireBounded();
    bool isStopping() const { return isStopping_; }

private:
    void answerRequests(LoopbackConnection &connection);
    bool servesRequest() const;

    ServerAnswer answer_;
    std::atomic<bool> isStopping_ = false;
    std::unique_ptr<LoopbackServer> server_;
    std::unique_ptr<Fleet> fleet_;
};

} // namespace lovagecourse::test
