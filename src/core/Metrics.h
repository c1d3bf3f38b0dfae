#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Counters, gauges and histograms of one process.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter. If the reason is not empty, it is the value of the label "reason".
    void count(std::string_view name, std::string_view reason = {}, double amount = 1);
    /// Sets the value of a gauge.
    void gauge(std::string_view name, double value);
    /// Records a latency in a histogram from 100 us to 1000 s with 5 bins per factor of 2.
    void latency(std::string_view name, std::chrono::nanoseconds value);

    /// Records the ratio of a measured to a predicted value in a histogram with the bucket edges
    /// 0.25, 0.5, 0.8, 1.25, 2 and 4 for the label "service". Ignores a ratio that is negative or
    /// not finite.
    void ratio(std::string_view name, std::string_view service, double value);

    /// Value of a counter; 0 if it was never incremented.
    double counterValue(std::string_view name, std::string_view reason = {}) const;
    /// Upper edge of the histogram bin with the quantile (0 to 1) of a latency; 0 without samples.
    std::chrono::nanoseconds latencyQuantile(std::string_view name, double quantile) const;
    /// All metrics in the Prometheus text format, version 0.0.4; latencies in seconds.
    std::string renderPrometheus() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
