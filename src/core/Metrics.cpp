#include "core/Metrics.h"

#include <boost/histogram.hpp>

#include <cmath>
#include <map>
#include <sstream>

namespace lovagecourse {

namespace {

namespace bh = boost::histogram;
using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(LatencyAxis(1U, 1., 2.)));

constexpr double lowestSeconds = 1e-4;
constexpr double highestSeconds = 1e3;
constexpr unsigned binCount = 116;
// Only every fourth bin edge is rendered, to limit the size of the metrics page.
constexpr int renderedBinStep = 4;

struct Latency
{
    LatencyHistogram histogram =
            bh::make_histogram(LatencyAxis(binCount, lowestSeconds, highestSeconds));
    double sum = 0;
    double count = 0;
};

using CounterKey = std::pair<std::string, std::string>;

} // namespace

struct Metrics::Impl
{
    std::map<CounterKey, double> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, Latency, std::less<>> latencies;
};

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view reason, double amount)
{
    impl_->counters[CounterKey(name, reason)] += amount;
}

void Metrics::gauge(std::string_view name, double value)
{
    impl_->gauges[std::string(name)] = value;
}

void Metrics::latency(std::string_view name, std::chrono::nanoseconds value)
{
    auto found = impl_->latencies.find(name);
    if (found == impl_->latencies.end())
        found = impl_->latencies.emplace(std::string(name), Latency{}).first;
    const double inSeconds = std::chrono::duration<double>(value).count();
    found->second.histogram(inSeconds);
    found->second.sum += inSeconds;
    found->second.count += 1;
}

double Metrics::counterValue(std::string_view name, std::string_view reason) const
{
    const auto found = impl_->counters.find(CounterKey(name, reason));
    return found == impl_->counters.end() ? 0 : found->second;
}

std::chrono::nanoseconds Metrics::latencyQuantile(std::string_view name, double quantile) const
{
    const auto found = impl_->latencies.find(name);
    if (found == impl_->latencies.end() || found->second.count == 0)
        return std::chrono::nanoseconds(0);
    const double targetCount = quantile * found->second.count;
    double cumulativeCount = 0;
    double edge = lowestSeconds;
    for (auto &&cell : bh::indexed(found->second.histogram, bh::coverage::all)) {
        cumulativeCount += static_cast<double>(*cell);
        edge = std::min(cell.bin().upper(), highestSeconds);
        if (cumulativeCount >= targetCount)
            break;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(edge));
}

std::string Metrics::renderPrometheus() const
{
    std::ostringstream out;
    std::string lastName;
    for (const auto &[key, value] : impl_->counters) {
        if (key.first != lastName)
            out << "# TYPE " << key.first << " counter\n";
        lastName = key.first;
        out << key.first;
        if (!key.second.empty())
            out << "{reason=\"" << key.second << "\"}";
        out << ' ' << value << '\n';
    }
    for (const auto &[name, value] : impl_->gauges)
        out << "# TYPE " << name << " gauge\n" << name << ' ' << value << '\n';
    for (const auto &[name, latency] : impl_->latencies) {
        out << "# TYPE " << name << " histogram\n";
        double cumulative = 0;
        for (auto &&cell : bh::indexed(latency.histogram, bh::coverage::all)) {
            cumulative += static_cast<double>(*cell);
            const bool rendered = cell.index() >= 0 && cell.index() % renderedBinStep == 0;
            if (rendered && std::isfinite(cell.bin().upper()))
                out << name << "_bucket{le=\"" << cell.bin().upper() << "\"} " << cumulative
                    << '\n';
        }
        out << name << "_bucket{le=\"+Inf\"} " << latency.count << '\n';
        out << name << "_sum " << latency.sum << '\n' << name << "_count " << latency.count << '\n';
    }
    return out.str();
}

} // namespace lovagecourse
