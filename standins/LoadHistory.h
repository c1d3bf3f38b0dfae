#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

namespace lovagecourse {

/// Load of an engine at one point in time.
struct LoadSample
{
    std::chrono::steady_clock::time_point time;
    /// Requests in the batch.
    std::uint64_t running = 0;
    /// Tokens generated since the engine started.
    std::uint64_t tokens = 0;
};

/// Load that an engine reports: accurate, but as old as the lag.
struct LoadReport
{
    std::uint64_t running = 0;
    double tokensPerSecond = 0;
};

/// Stores load samples and reports the load of a fixed time ago, like an engine whose load
/// reports lag.
class LoadHistory
{
public:
    explicit LoadHistory(std::chrono::milliseconds lag)
        : lag_(lag)
    {}

    void add(const LoadSample &sample)
    {
        samples_.push_back(sample);
        while (samples_.front().time < sample.time - lag_ - 2 * window)
            samples_.pop_front();
    }

    /// Newest sample that is at least as old as the lag, with the token rate over the 1 s before
    /// it; zero without such a sample.
    LoadReport report(std::chrono::steady_clock::time_point now) const
    {
        const LoadSample *newest = nullptr;
        for (const LoadSample &sample : samples_) {
            if (sample.time <= now - lag_)
                newest = &sample;
        }
        if (newest == nullptr)
            return {};
        const LoadSample *oldest = newest;
        for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
            if (sample->time < newest->time && sample->time >= newest->time - window)
                oldest = &*sample;
        }
        const std::chrono::duration<double> span = newest->time - oldest->time;
        const auto tokens = static_cast<double>(newest->tokens - oldest->tokens);
        return {newest->running, span.count() > 0 ? tokens / span.count() : 0};
    }

    void clear() { samples_.clear(); }

private:
    static constexpr std::chrono::seconds window{1};

    std::chrono::milliseconds lag_;
    std::deque<LoadSample> samples_;
};

} // namespace lovagecourse
