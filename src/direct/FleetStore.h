#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecourse {

/// Streams of the platform's log in which each record replaces the one before it of the same key.
enum class KeyedTopic : std::uint8_t { Configuration, Servers, Daemons };

/// Newest record of a key.
struct KeyedRecord
{
    std::string key;
    /// Empty when the key was dropped.
    std::optional<std::string> value;
};

/// Records in order, and where the next read goes on.
struct KeyedBatch
{
    std::vector<KeyedRecord> records;
    LogOffset next;
};

/// Why a call to the store gave nothing.
enum class StoreFault : std::uint8_t {
    /// No answer; a write may have happened.
    NoAnswer,
    /// Too many calls; nothing was done.
    Overloaded,
    /// The store can't serve now; nothing was done.
    Unavailable,
    /// The records that were asked for have expired.
    Expired,
    /// The answer can't be read or has an unknown status.
    Malformed
};

std::string_view toString(StoreFault fault);

using KeyedResult = std::variant<KeyedBatch, StoreFault>;
using WriteResult = std::optional<StoreFault>;

/// The platform's log, as far as routers use it.
class FleetStore
{
public:
    virtual ~FleetStore() = default;
    /// The newest record of every key.
    virtual void readNewest(KeyedTopic topic, milliseconds timeout,
                            std::function<void(const KeyedResult &)> onDone) = 0;
    /// Records from an offset on; the store waits up to the given time for the first one.
    virtual void readFrom(KeyedTopic topic, LogOffset from, milliseconds wait, milliseconds timeout,
                          std::function<void(const KeyedResult &)> onDone) = 0;
    /// Writes this daemon's own record.
    virtual void writeDaemon(const std::string &key, const std::string &value, milliseconds timeout,
                             std::function<void(const WriteResult &)> onDone) = 0;
};

} // namespace lovagecourse
