#pragma once

namespace lovagecourse {

/// Returns whether the socket of a TCP connection has received any byte, read or unread; also true
/// if that can't be determined.
bool hasReceivedBytes(int descriptor);

} // namespace lovagecourse
