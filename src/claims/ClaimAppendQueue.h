#pragma once

#include "claims/ClaimCoordinator.h"
#include "claims/ClaimEntry.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lovagecourse {

/// Entries on their way to the log: one record at a time, the same record until its fate is known.
class ClaimAppendQueue
{
public:
    /// The prefix makes record ids unique in the stream.
    explicit ClaimAppendQueue(std::string recordIdPrefix);

    void push(ClaimEntry entry);
    /// Takes back a claim that no record carries yet; false when one does.
    bool dropClaim(const ClaimId &claim);
    /// The record to append now; empty while one is under way, in a pause, or nothing waits.
    std::optional<ClaimAppend> due(TimePoint now);
    /// Returns claims that the platform rejected; they are not sent again.
    std::vector<ClaimId> onResult(const std::string &recordId, const AppendResult &result,
                                  TimePoint now);
    /// The record was read; returns its entries if it is one of this queue's.
    std::vector<ClaimEntry> onRead(const std::string &recordId);
    /// Entries that are not known to be in the log, without the agent's start.
    std::size_t pending() const;

private:
    struct Waiting
    {
        ClaimEntry entry;
        /// Was part of a rejected record and goes out by itself.
        bool alone = false;
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
    std::deque<Waiting> waiting_;
    std::optional<Record> current_;
    std::map<std::string, std::vector<ClaimEntry>> unread_;
    TimePoint pauseUntil_;
};

} // namespace lovagecourse
