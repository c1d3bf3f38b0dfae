#pragma once

#include "platform/LogRecord.h"

#include <string>

namespace lovagecourse {

/// Parses the answer to an append.
AppendResult parseAppend(const std::string &body);
/// Parses the answer to a read of records.
ReadResult parseBatch(const std::string &body);
/// Parses the list of hosts.
HostListResult parseHosts(const std::string &body);

} // namespace lovagecourse
