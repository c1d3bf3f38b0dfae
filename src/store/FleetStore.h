#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "store/StoreEras.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecourse {

/// Topics of the platform's log whose records have keys. A record replaces earlier records of the
/// same key, but in StreamOrigins, where each record expires.
enum class KeyedTopic : std::uint8_t { Configuration, Servers, Daemons, StreamOrigins };

/// One record of a keyed topic.
struct KeyedRecord
{
    std::string key;
    /// Empty when the record deletes the key.
    std::optional<std::string> value;
    /// Set in records from readFrom() only.
    LogOffset offset;
};

/// Records in order, and the position at which the next read begins.
struct KeyedBatch
{
    std::vector<KeyedRecord> records;
    StorePosition next;
    /// False if the topic had further records when the store answered.
    bool isAtEnd = true;
};

/// Reason why a call to the store failed.
enum class StoreFault : std::uint8_t {
    /// No answer arrived; a write may have been done.
    NoAnswer,
    /// The store received too many calls; nothing was done.
    Overloaded,
    /// The store is unavailable; nothing was done.
    Unavailable,
    /// The requested records have expired.
    Expired,
    /// The store ends before the offset of the read: it has lost the records that were read.
    HistoryLost,
    /// The answer can't be decoded or has an unknown status.
    Malformed,
    /// The store has come back from an older copy: the position of the read is of another era, or
    /// the era has changed since the call began. A write may have been lost.
    EraChanged
};

std::string_view toString(StoreFault fault);

/// How a read is made.
struct ReadOptions
{
    /// Time for which the store holds the call while there are no records (long poll).
    milliseconds wait{0};
    /// Time after which the call has failed; includes the wait.
    milliseconds timeout{0};
    /// Uses none of the kept connections, which may have gone silent.
    bool freshConnection = false;
    /// Begins at the first retained record if those before it have expired.
    bool skipsExpired = false;
};

using KeyedResult = std::variant<KeyedBatch, StoreFault>;
/// Empty when the write succeeded.
using WriteResult = std::optional<StoreFault>;

/// Client interface of the platform's log for routers; calls are asynchronous and report their
/// result through onDone. A call outlives this object: its result is reported also after the store
/// was replaced. A receiver that may be destroyed first guards its callback, as StoreFollower does.
class FleetStore
{
public:
    virtual ~FleetStore() = default;
    /// Reads the newest record of every key. Of the options, wait and skipsExpired have no effect.
    virtual void readNewest(KeyedTopic topic, const ReadOptions &options,
                            std::function<void(const KeyedResult &)> onDone) = 0;
    /// Reads the records from a position on. Offset 0 is the beginning of the topic in any era.
    virtual void readFrom(KeyedTopic topic, const StorePosition &from, const ReadOptions &options,
                          std::function<void(const KeyedResult &)> onDone) = 0;
    /// Appends a record to Daemons or StreamOrigins; routers may not write to the other topics.
    virtual void append(KeyedTopic topic, const std::string &key, const std::string &value,
                        milliseconds timeout, std::function<void(const WriteResult &)> onDone) = 0;
};

} // namespace lovagecourse
