#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Writes lines to a pipe without blocking. Unread output is kept in a buffer of 512 KiB. Lines
/// that do not fit there, or exceed 1200 lines/s after a burst of 2400, are dropped and counted.
class BoundedWriter
{
public:
    /// Does not take ownership of the descriptor.
    explicit BoundedWriter(int descriptor);

    /// Appends a line, given without its newline; returns false if it was dropped.
    bool writeLine(std::string_view line, TimePoint now);
    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();
    /// Returns the number of lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    int descriptor_;
    std::string buffer_;
    /// Lines that may be written now: a token bucket.
    double availableLines_ = 0;
    TimePoint refilledAt_;
    std::uint64_t dropped_ = 0;
};

} // namespace lovagecourse
