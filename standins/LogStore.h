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

/// One record that the platform stand-in keeps.
struct StoredRecord
{
    std::uint64_t offset = 0;
    std::string id;
    std::uint64_t timeMs = 0;
    std::string body;
};

/// Answer to an append.
struct StoredAppend
{
    std::uint64_t offset = 0;
    /// True when a record with the same id was there already.
    bool known = false;
};

/// Answer to a read.
struct StoredBatch
{
    std::uint64_t oldest = 0;
    std::uint64_t next = 0;
    std::vector<StoredRecord> records;
};

/// Streams of records in memory; all functions may be called from any thread.
class LogStore
{
public:
    /// Records older than the retention are dropped; 0 keeps them for ever.
    explicit LogStore(std::chrono::seconds retention);

    StoredAppend append(const std::string &stream, const std::string &id, const std::string &body);
    /// Waits for a record at or after the offset until the wait is over or wakeAll() is called.
    StoredBatch read(const std::string &stream, std::uint64_t from, std::chrono::milliseconds wait,
                     std::size_t maxRecords);
    /// Drops all records below the offset.
    void expireBefore(const std::string &stream, std::uint64_t offset);
    /// Ends all waiting reads.
    void wakeAll();

private:
    struct Stream
    {
        std::uint64_t oldest = 0;
        std::deque<StoredRecord> records;
        std::unordered_map<std::string, std::uint64_t> offsets;

        std::uint64_t next() const { return oldest + records.size(); }
        void dropOldest();
    };

    void dropExpired(Stream &stream) const;

    std::chrono::seconds retention_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t wakeups_ = 0;
    std::map<std::string, Stream> streams_;
};

} // namespace lovagecourse
