#pragma once

#include "claims/ClaimCoordinator.h"
#include "daemon/Daemon.h"
#include "platform/LogFollower.h"

#include <memory>

namespace lovagecourse {

/// Joins an agent's claims to the platform's log: appends what is due and reads what is new.
class ClaimJournal
{
public:
    /// Starts to read the claims at once and appends the agent's start.
    ClaimJournal(Daemon &daemon, const ServerId &server);
    ~ClaimJournal();
    ClaimJournal(const ClaimJournal &) = delete;
    ClaimJournal &operator=(const ClaimJournal &) = delete;

    ClaimCoordinator &coordinator();
    /// Asks for a claim, as ClaimCoordinator::begin() does. Refuses a key that is so old that an
    /// earlier claim of it may have expired from the log, for example after a long wait.
    void begin(const ClaimRequest &request, ClaimCoordinator::DecisionHandler onDecision);
    /// Appends what became due; call after each use of the coordinator.
    void pump();
    /// True when the agent's own start is the newest of its server that the log has.
    bool isNewestRun() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
