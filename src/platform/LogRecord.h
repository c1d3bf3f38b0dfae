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
    /// Chosen by the writer; a second append with the same id adds nothing.
    std::string recordId;
    /// When the platform stored it, by the platform's clock.
    WallTime time;
    std::string body;
};

/// Answer to a read.
struct LogBatch
{
    /// Offset of the oldest record that is still kept.
    LogOffset oldest;
    /// Offset to read from next.
    LogOffset next;
    std::vector<LogRecord> records;
};

/// No usable answer came; an append may or may not have taken effect.
struct PlatformUnavailable
{
    int httpStatus = 0;
    int curlCode = 0;
};

/// The platform answered that it will not do it (a 4xx status); nothing took effect.
struct PlatformRejected
{
    int httpStatus = 0;
};

/// An answer came that is not in the expected form.
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
