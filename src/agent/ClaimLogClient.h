#pragma once

#include "claims/ClaimCoordinator.h"
#include "daemon/Daemon.h"
#include "platform/LogFollower.h"

#include <memory>

namespace lovagecourse {

/// Connects an agent's ClaimCoordinator to the stream "claims" of the platform's log: appends the
/// records that are due and passes the records that it reads to the coordinator.
class ClaimLogClient
{
public:
    /// Starts to read the stream and appends a record of the agent's start.
    ClaimLogClient(Daemon &daemon, const ServerId &server);
    ~ClaimLogClient();
    ClaimLogClient(const ClaimLogClient &) = delete;
    ClaimLogClient &operator=(const ClaimLogClient &) = delete;

    ClaimCoordinator &coordinator();
    /// Requests a claim like ClaimCoordinator::begin(), but refuses a key so old that an earlier
    /// claim of it may have expired from the log, for example after the request waited long.
    void begin(const ClaimRequest &request, ClaimCoordinator::DecisionHandler onDecision);
    /// Appends the records that are due; call after each use of the coordinator.
    void appendDueRecords();
    /// True when the newest agent start of this server in the log is that of this incarnation.
    bool isNewestIncarnation() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
