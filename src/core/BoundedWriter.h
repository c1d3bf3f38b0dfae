#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Writes lines to a descriptor without ever blocking: what the reader does not take stays in a
/// bounded buffer, and what does not fit there is dropped and counted. The rate is bounded, too.
class BoundedWriter
{
public:
    /// The descriptor stays the caller's.
    explicit BoundedWriter(int descriptor);

    /// Takes a line without its end; false when it was dropped.
    bool writeLine(std::string_view line, TimePoint now);
    /// Hands to the reader what it takes.
    void flush();
    /// Lines dropped since the last call.
    std::uint64_t takeDropped();

private:
    int descriptor_;
    std::string buffer_;
    double allowance_ = 0;
    TimePoint refilled_;
    std::uint64_t dropped_ = 0;
};

} // namespace lovagecourse
