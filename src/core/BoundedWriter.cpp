#include "core/BoundedWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace lovagecourse {

namespace {

// A few seconds of a busy router's lines, for a reader that pauses.
constexpr std::size_t maxBufferBytes = 512U << 10;
// Flushed on the way from this size on, so that a burst needs few system calls.
constexpr std::size_t flushBytes = PIPE_BUF;
// Two lines for each of 600 requests a second, six times the usual load of one router.
constexpr double linesPerSecond = 1200;
constexpr double burstLines = 2400;

} // namespace

BoundedWriter::BoundedWriter(int descriptor)
    : descriptor_(descriptor)
    , allowance_(burstLines)
{}

bool BoundedWriter::writeLine(std::string_view line, TimePoint now)
{
    if (refilled_ != TimePoint()) {
        const double passed = std::chrono::duration<double>(now - refilled_).count();
        allowance_ = std::min(burstLines, allowance_ + passed * linesPerSecond);
    }
    refilled_ = now;
    if (allowance_ < 1 || buffer_.size() + line.size() + 1 > maxBufferBytes) {
        ++dropped_;
        return false;
    }
    allowance_ -= 1;
    buffer_.append(line);
    buffer_ += '\n';
    if (buffer_.size() >= flushBytes)
        flush();
    return true;
}

void BoundedWriter::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size()) {
        pollfd ready{descriptor_, POLLOUT, 0};
        // A pipe that polls writable takes PIPE_BUF bytes without blocking.
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
            break;
        const std::size_t size = std::min<std::size_t>(PIPE_BUF, buffer_.size() - written);
        const ssize_t count = write(descriptor_, buffer_.data() + written, size);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, written);
}

std::uint64_t BoundedWriter::takeDropped()
{
    return std::exchange(dropped_, 0);
}

} // namespace lovagecourse
