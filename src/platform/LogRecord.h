#pragma once

#include "core/Clock.h"
#include "core/Ids.h"

#include <string>
#include <variant>
#include <vector>

namespace lovagecourse {

/// One record of a stream in the platform's log.
struct LogRecord
{
    LogOffset offset;
    /// Chosen by the writer; a second append with the same id has no effect.
    std::string recordId;
    /// Time at which the platform stored the record, by the platform's clock.
    WallTime time;
    std::string body;
};

/// Result of a read.
struct LogBatch
{
    /// Offset of the oldest record that has not expired.
    LogOffset oldest;
    /// Offset from which the next read starts.
    LogOffset next;
    std::vector<LogRecord> records;
};

/// No usable answer arrived; an append may or may not have taken effect.
struct PlatformUnavailable
{
    int httpStatus = 0;
    int curlCode = 0;
};

/// The platform rejected the call with a 4xx status other than 408 and 429; nothing took effect.
struct PlatformRejected
{
    int httpStatus = 0;
};

/// The answer does not have the expected format.
struct PlatformAnswerMalformed
{};

using PlatformFailure =
        std::variant<PlatformUnavailable, PlatformRejected, PlatformAnswerMalformed>;
using AppendResult = std::variant<LogOffset, PlatformFailure>;
using ReadResult = std::variant<LogBatch, PlatformFailure>;

/// One host of the platform's host list.
struct HostEntry
{
    HostId host;
    bool leaving = false;
};

using HostListResult = std::variant<std::vector<HostEntry>, PlatformFailure>;

} // namespace lovagecourse
