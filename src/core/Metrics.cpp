#include "core/Metrics.h"

#include <boost/histogram.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <sstream>
#include <unordered_map>

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

// Ratios between 0.8 and 1.25 are good predictions; an error of a factor of 2 or 4 shows which
// way a model is wrong.
constexpr std::array ratioEdges{0.25, 0.5, 0.8, 1.25, 2., 4.};

struct Ratios
{
    /// Values up to each edge and above the one before.
    std::array<double, ratioEdges.size()> counts{};
    double sum = 0;
    double count = 0;
};

/// Name and label value.
using LabelledKey = std::pair<std::string, std::string>;
using LabelledView = std::pair<std::string_view, std::string_view>;

/// Allows look-ups without copies of the name and the label value.
struct LabelledKeyHash
{
    using is_transparent = void;

    template <class Key>
    std::size_t operator()(const Key &key) const
    {
        return static_cast<std::size_t>(XXH3_64bits_withSeed(
                key.first.data(), key.first.size(),
                key.second.empty() ? 0 : XXH3_64bits(key.second.data(), key.second.size())));
    }
};

struct LabelledKeyEqual
{
    using is_transparent = void;

    template <class Left, class Right>
    bool operator()(const Left &left, const Right &right) const
    {
        return left.first == right.first && left.second == right.second;
    }
};

/// Escapes a label value as the Prometheus text format requires.
std::string escapeLabel(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"')
            escaped += '\\';
        if (c == '\n')
            escaped += "\\n";
        else
            escaped += c;
    }
    return escaped;
}

} // namespace

struct Metrics::Impl
{
    std::unordered_map<LabelledKey, double, LabelledKeyHash, LabelledKeyEqual> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, Latency, std::less<>> latencies;
    std::map<LabelledKey, Ratios> ratios;
};

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view reason, double amount)
{
    auto found = impl_->counters.find(LabelledView(name, reason));
    if (found == impl_->counters.end())
        found = impl_->counters.emplace(LabelledKey(name, reason), 0).first;
    found->second += amount;
}

void Metrics::gauge(std::string_view name, double value)
{
    const auto found = impl_->gauges.find(name);
    if (found == impl_->gauges.end())
        impl_->gauges.emplace(name, value);
    else
        found->second = value;
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

void Metrics::ratio(std::string_view name, std::string_view service, double value)
{
    if (!std::isfinite(value) || value < 0)
        return;
    Ratios &ratios = impl_->ratios[LabelledKey(name, service)];
    const auto edge = std::lower_bound(ratioEdges.begin(), ratioEdges.end(), value);
    if (edge != ratioEdges.end())
        ratios.counts.at(static_cast<std::size_t>(edge - ratioEdges.begin())) += 1;
    ratios.sum += value;
    ratios.count += 1;
}

double Metrics::counterValue(std::string_view name, std::string_view reason) const
{
    const auto found = impl_->counters.find(LabelledView(name, reason));
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
    const std::map<LabelledView, double> counters(impl_->counters.begin(), impl_->counters.end());
    for (const auto &[key, value] : counters) {
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
    lastName.clear();
    for (const auto &[key, ratios] : impl_->ratios) {
        const std::string &name = key.first;
        const std::string label = "service=\"" + escapeLabel(key.second) + '"';
        if (name != lastName)
            out << "# TYPE " << name << " histogram\n";
        lastName = name;
        double cumulative = 0;
        for (std::size_t i = 0; i < ratioEdges.size(); ++i) {
            cumulative += ratios.counts.at(i);
            out << name << "_bucket{" << label << ",le=\"" << ratioEdges.at(i) << "\"} "
                << cumulative << '\n';
        }
        out << name << "_bucket{" << label << ",le=\"+Inf\"} " << ratios.count << '\n'
            << name << "_sum{" << label << "} " << ratios.sum << '\n'
            << name << "_count{" << label << "} " << ratios.count << '\n';
    }
    return out.str();
}

} // namespace lovagecourse
