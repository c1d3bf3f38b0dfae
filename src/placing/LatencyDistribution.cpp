#include "placing/LatencyDistribution.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Lower edge of the second bin, and bins per factor of two: bins cover ratios up to about 1,000
// with steps of 19%.
constexpr double firstRatio = 0.25;
constexpr double binsPerDoubling = 4;
// About the latest 500 answers count.
constexpr double retainedPart = 0.998;
// Predictions below this are dominated by scheduling delays, which are not the server's.
constexpr double minPredictedMs = 1;

// With these, a server that is four or more times slower than predicted counts as slow after two
// answers, but no server does after one, which may be late by chance.
constexpr double latenessWeight = 0.5;
constexpr double slowRatio = 2.4;
constexpr double minLateness = 0.5;
constexpr double maxLateness = 5.5;

} // namespace

double latencyRatio(double elapsedMs, double predictedMs)
{
    return std::max(elapsedMs, 0.) / std::max(predictedMs, minPredictedMs);
}

std::size_t LatencyDistribution::binOf(double ratio)
{
    if (!(ratio > firstRatio))
        return 0;
    const double position = 1 + std::floor(binsPerDoubling * std::log2(ratio / firstRatio));
    return static_cast<std::size_t>(std::min(position, static_cast<double>(binCount - 1)));
}

double LatencyDistribution::upperEdge(std::size_t bin)
{
    return firstRatio * std::exp2(static_cast<double>(bin) / binsPerDoubling);
}

void LatencyDistribution::observe(double elapsedMs, double predictedMs)
{
    const double ratio = latencyRatio(elapsedMs, predictedMs);
    if (!std::isfinite(ratio))
        return;
    for (double &weight : weights_)
        weight *= retainedPart;
    total_ = total_ * retainedPart + 1;
    weights_[binOf(ratio)] += 1;
}

double LatencyDistribution::quantile(double part) const
{
    if (total_ <= 0)
        return 0;
    double sum = 0;
    for (std::size_t bin = 0; bin < binCount; ++bin) {
        sum += weights_[bin];
        if (sum >= part * total_)
            return upperEdge(bin);
    }
    return upperEdge(binCount - 1);
}

double LatencyDistribution::meanAbove(double ratio) const
{
    double weight = 0;
    double sum = 0;
    for (std::size_t bin = binOf(ratio) + 1; bin < binCount; ++bin) {
        weight += weights_[bin];
        sum += weights_[bin] * upperEdge(bin);
    }
    return weight > 0 ? std::max(ratio, sum / weight) : ratio;
}

void ServerLateness::observe(double elapsedMs, double predictedMs, TimePoint now)
{
    const double ratio = latencyRatio(elapsedMs, predictedMs);
    if (!std::isfinite(ratio))
        return;
    const double value = std::log(std::clamp(ratio, minLateness, maxLateness));
    logRatio_ += latenessWeight * (value - logRatio_);
    lastObserved_ = now;
}

double ServerLateness::ratio() const
{
    return std::exp(logRatio_);
}

bool ServerLateness::isSlow() const
{
    return ratio() >= slowRatio;
}

} // namespace lovagecourse
