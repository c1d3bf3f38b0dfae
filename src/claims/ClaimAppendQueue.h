#pragma once

#include "claims/ClaimCoordinator.h"
#include "claims/ClaimEntry.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagecourse {

/// Batches claim entries into log records. One record is in flight at a time; it is appended again
/// with the same record id until the append succeeds, is rejected, or the record is read.
class ClaimAppendQueue
{
public:
    /// The prefix must make record ids unique in the stream.
    explicit ClaimAppendQueue(std::string recordIdPrefix);

    void push(ClaimEntry entry);
    /// Removes a claim that is not in any record yet; false if it may already be in the log.
    bool dropClaim(const ClaimId &claim);
    /// Returns the record to append now; empty while an append is in flight, during the delay after
    /// a failure, and when nothing is queued.
    std::optional<ClaimAppend> due(TimePoint now);
    /// Handles the result of an append. Returns the claims that the platform rejected; they are not
    /// appended again.
    std::vector<ClaimId> onResult(const std::string &recordId, const AppendResult &result,
                                  TimePoint now);
    /// Call for each record read from the log. Returns the record's entries if this queue appended
    /// it.
    std::vector<ClaimEntry> onRead(const std::string &recordId);
    /// Number of entries that are not known to be in the log, not counting AgentStart.
    std::size_t pending() const;

private:
    struct QueuedEntry
    {
        ClaimEntry entry;
        /// Set for entries of a rejected record: each one gets a record of its own.
        bool appendAlone = false;
    };
    struct Record
    {
        std::string id;
        std::string body;
        std::vector<ClaimEntry> entries;
        bool awaitingResult = false;
        TimePoint retryAt;
    };

    void formRecord();
    std::vector<ClaimId> onRejected(TimePoint now);

    std::string prefix_;
    std::uint64_t recordCount_ = 0;
    std::deque<QueuedEntry> queued_;
    std::optional<Record> current_;
    std::map<std::string, std::vector<ClaimEntry>> unconfirmed_;
    TimePoint pauseUntil_;
};

} // namespace lovagecourse
