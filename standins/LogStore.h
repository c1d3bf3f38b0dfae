#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovagecourse {

/// One record of a stream.
struct StoredRecord
{
    std::uint64_t offset = 0;
    /// Unique among the retained records of the stream.
    std::string id;
    /// Time of the append, since the Unix epoch.
    std::uint64_t timeMs = 0;
    std::string body;
};

/// Result of an append.
struct StoredAppend
{
    std::uint64_t offset = 0;
    /// True if a record with the same ID existed already; the offset is that record's.
    bool isDuplicate = false;
};

/// Result of a read.
struct StoredBatch
{
    /// Offset of the oldest record that the stream retains.
    std::uint64_t oldest = 0;
    /// Offset from which the next read continues.
    std::uint64_t next = 0;
    std::vector<StoredRecord> records;
};

/// In-memory log of named record streams with idempotent appends and long-poll reads. Thread-safe.
class LogStore
{
public:
    /// Records older than the retention are dropped; 0 keeps them forever.
    explicit LogStore(std::chrono::seconds retention);

    StoredAppend append(const std::string &stream, const std::string &id, const std::string &body);
    /// Returns up to maxRecords records from the offset on. Waits for the first of them until the
    /// wait has elapsed or wakeAll() is called.
    StoredBatch read(const std::string &stream, std::uint64_t from, std::chrono::milliseconds wait,
                     std::size_t maxRecords);
    /// Drops all records with lower offsets.
    void expireBefore(const std::string &stream, std::uint64_t offset);
    /// Ends the wait of all current reads.
    void wakeAll();

private:
    struct Stream
    {
        std::uint64_t oldest = 0;
        std::deque<StoredRecord> records;
        /// Offsets by record ID.
        std::unordered_map<std::string, std::uint64_t> offsets;

        std::uint64_t next() const { return oldest + records.size(); }
        void dropOldest();
    };

    void dropExpired(Stream &stream) const;

    std::chrono::seconds retention_;
    std::mutex mutex_;
    std::condition_variable changed_;
    /// Number of wakeAll() calls; a waiting read ends when it changes.
    std::uint64_t wakeups_ = 0;
    std::map<std::string, Stream> streams_;
};

} // namespace lovagecourse
