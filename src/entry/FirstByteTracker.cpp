#include "entry/FirstByteTracker.h"

#include <algorithm>

namespace lovagecourse {

namespace {

constexpr std::size_t ringSize = 400;
constexpr std::size_t minSamples = 40;
// The percentile is recomputed once per this many samples.
constexpr std::size_t updateInterval = 20;
constexpr double lateQuantile = 0.95;

} // namespace

void FirstByteTracker::onFirstByte(const ServiceId &service, std::chrono::nanoseconds latency)
{
    Samples &samples = services_[service];
    if (samples.ring.size() < ringSize)
        samples.ring.push_back(latency);
    else
        samples.ring[samples.next] = latency;
    samples.next = (samples.next + 1) % ringSize;
    if (++samples.sinceUpdate < updateInterval || samples.ring.size() < minSamples)
        return;
    samples.sinceUpdate = 0;
    std::vector<std::chrono::nanoseconds> sorted = samples.ring;
    const auto rank = static_cast<std::size_t>(lateQuantile * static_cast<double>(sorted.size()));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                     sorted.end());
    samples.threshold = sorted[rank];
}

std::optional<std::chrono::nanoseconds>
FirstByteTracker::lateThreshold(const ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? std::nullopt : found->second.threshold;
}

} // namespace lovagecourse
