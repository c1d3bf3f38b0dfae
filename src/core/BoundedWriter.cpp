#include "core/BoundedWriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace lovagecourse {

namespace {

// Holds a few seconds of a busy router's lines while the reader pauses.
constexpr std::size_t maxBufferBytes = 512U << 10;
// Buffered bytes that trigger a flush in writeLine(), so that a burst needs few system calls.
constexpr std::size_t flushThresholdBytes = PIPE_BUF;
// Two lines for each of 600 requests/s, six times the usual load of one router.
constexpr double maxLinesPerSecond = 1200;
constexpr double maxBurstLines = 2400;

} // namespace

BoundedWriter::BoundedWriter(int descriptor)
    : descriptor_(descriptor)
    , availableLines_(maxBurstLines)
{}

bool BoundedWriter::writeLine(std::string_view line, TimePoint now)
{
    if (refilledAt_ != TimePoint()) {
        const double passed = std::chrono::duration<double>(now - refilledAt_).count();
        availableLines_ = std::min(maxBurstLines, availableLines_ + passed * maxLinesPerSecond);
    }
    refilledAt_ = now;
    if (availableLines_ < 1 || buffer_.size() + line.size() + 1 > maxBufferBytes) {
        ++dropped_;
        return false;
    }
    availableLines_ -= 1;
    buffer_.append(line);
    buffer_ += '\n';
    if (buffer_.size() >= flushThresholdBytes)
        flush();
    return true;
}

void BoundedWriter::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size()) {
        pollfd ready{descriptor_, POLLOUT, 0};
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
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
