#include "LogStore.h"

#include <algorithm>

namespace lovagecourse {

namespace {

std::uint64_t nowMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

LogStore::LogStore(std::chrono::seconds retention)
    : retention_(retention)
{}

void LogStore::Stream::dropOldest()
{
    offsets.erase(records.front().id);
    records.pop_front();
    ++oldest;
}

void LogStore::dropExpired(Stream &stream) const
{
    if (retention_.count() == 0)
        return;
    const auto retentionMs = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(retention_).count());
    const std::uint64_t now = nowMs();
    while (!stream.records.empty() && stream.records.front().timeMs + retentionMs < now)
        stream.dropOldest();
}

StoredAppend LogStore::append(const std::string &streamName, const std::string &id,
                              const std::string &body)
{
    const std::lock_guard lock(mutex_);
    Stream &stream = streams_[streamName];
    dropExpired(stream);
    const auto known = stream.offsets.find(id);
    if (known != stream.offsets.end())
        return {known->second, true};
    const std::uint64_t offset = stream.next();
    stream.records.push_back({offset, id, nowMs(), body});
    stream.offsets.emplace(id, offset);
    changed_.notify_all();
    return {offset, false};
}

StoredBatch LogStore::read(const std::string &streamName, std::uint64_t from,
                           std::chrono::milliseconds wait, std::size_t maxRecords)
{
    std::unique_lock lock(mutex_);
    Stream &stream = streams_[streamName];
    const std::uint64_t wakeupsBefore = wakeups_;
    changed_.wait_for(lock, wait,
                      [&] { return stream.next() > from || wakeups_ != wakeupsBefore; });
    dropExpired(stream);
    const std::uint64_t start = std::clamp(from, stream.oldest, stream.next());
    const std::uint64_t end = start + std::min<std::uint64_t>(maxRecords, stream.next() - start);
    const auto first = stream.records.begin() + static_cast<std::ptrdiff_t>(start - stream.oldest);
    const auto last = first + static_cast<std::ptrdiff_t>(end - start);
    return {stream.oldest, end, {first, last}};
}

void LogStore::expireBefore(const std::string &streamName, std::uint64_t offset)
{
    const std::lock_guard lock(mutex_);
    Stream &stream = streams_[streamName];
    while (!stream.records.empty() && stream.oldest < offset)
        stream.dropOldest();
}

void LogStore::wakeAll()
{
    const std::lock_guard lock(mutex_);
    ++wakeups_;
    changed_.notify_all();
}

} // namespace lovagecourse
