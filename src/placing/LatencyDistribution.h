#pragma once

#include "core/Clock.h"

#include <array>
#include <cstddef>

namespace lovagecourse {

/// Returns the measured time to first byte divided by the predicted one. Predictions of less than
/// 1 ms count as 1 ms.
double latencyRatio(double elapsedMs, double predictedMs);

/// Distribution of the measured time to first byte divided by the predicted one, over the latest
/// answers of one kind of request. Older answers count less, so that it follows the load.
class LatencyDistribution
{
public:
    /// An answer began after elapsedMs, or was cancelled then; a cancelled one would have taken
    /// longer, and is counted with the time until then.
    void observe(double elapsedMs, double predictedMs);
    /// Weight of the answers that count.
    double sampleCount() const { return total_; }
    /// Ratio that the given part (0 to 1) of the answers does not exceed; 0 without answers.
    double quantile(double part) const;
    /// Mean ratio of the answers above the ratio; the ratio itself if there are none.
    double meanAbove(double ratio) const;

private:
    static constexpr std::size_t binCount = 48;

    static std::size_t binOf(double ratio);
    static double upperEdge(std::size_t bin);

    std::array<double, binCount> weights_{};
    double total_ = 0;
};

/// How late the answers of one run of a server are, relative to their predictions. Finds a server
/// that is several times slower than predicted within its first answers.
class ServerLateness
{
public:
    /// As LatencyDistribution::observe().
    void observe(double elapsedMs, double predictedMs, TimePoint now);
    /// Geometric moving average of the ratio of measured to predicted time.
    double ratio() const;
    bool isSlow() const;
    TimePoint lastObserved() const { return lastObserved_; }

private:
    double logRatio_ = 0;
    TimePoint lastObserved_;
};

} // namespace lovagecourse
