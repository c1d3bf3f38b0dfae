#pragma once

#include <chrono>

namespace lovagecourse {

/// Monotonic time, for timeouts and rates.
using TimePoint = std::chrono::steady_clock::time_point;
/// Wall-clock time, for values that other hosts compare: idempotency key ages, datagram times, log
/// records.
using WallTime = std::chrono::system_clock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time source; injected so that tests control it.
class Clock
{
public:
    virtual ~Clock() = default;
    /// Monotonic time; never decreases.
    virtual TimePoint now() const = 0;
    /// Wall-clock time; may jump when the host's clock is set.
    virtual WallTime wallNow() const = 0;
};

/// Clock of the host.
class SystemClock final : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

/// Clock for tests that moves only on advance().
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return now_; }
    WallTime wallNow() const override { return wallNow_; }
    /// Moves both times forward.
    void advance(std::chrono::nanoseconds step)
    {
        now_ += step;
        wallNow_ += std::chrono::duration_cast<WallTime::duration>(step);
    }

private:
    TimePoint now_{std::chrono::hours(1)};
    WallTime wallNow_{std::chrono::hours(24 * 365 * 50)};
};

/// Converts a duration to milliseconds and keeps the fraction.
inline double toMs(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

/// Converts to whole milliseconds since the Unix epoch.
inline std::uint64_t toEpochMilliseconds(WallTime time)
{
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count());
}

} // namespace lovagecourse
