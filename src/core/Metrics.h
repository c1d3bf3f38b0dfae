#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Counters, gauges and latency histograms of one process.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds to a counter; the label is empty or one name="value" pair's value under "reason".
    void count(std::string_view name, std::string_view reason = {}, double amount = 1);
    /// Sets a gauge.
    void gauge(std::string_view name, double value);
    /// Records a latency; the histogram covers 100 us to 1000 s with 5 bins per factor of 2.
    void latency(std::string_view name, std::chrono::nanoseconds value);

    /// Value of a counter, 0 when it never counted.
    double counterValue(std::string_view name, std::string_view reason = {}) const;
    /// Quantile of a latency in [0, 1]; 0 when nothing was recorded.
    std::chrono::nanoseconds latencyQuantile(std::string_view name, double quantile) const;
    /// All metrics in the Prometheus text form, version 0.0.4; latencies in seconds.
    std::string renderPrometheus() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
