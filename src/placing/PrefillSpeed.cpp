#include "placing/PrefillSpeed.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Forgetting factor of the recursive least squares: about 300 samples count.
constexpr double forgettingFactor = 0.997;
// Scales that bring the features of usual prompts near 1.
constexpr double tokenUnit = 1000;
constexpr double pairUnit = 1e8;
// Initial values for a plain service and a medium-sized model server.
constexpr double defaultBaseMs = 40;
constexpr double defaultTokensPerMs = 50;
constexpr double initialInverseCorrelation = 100;
constexpr double maxInverseCorrelation = 1e4;
// The error of a sample is clipped to this part of the prediction plus errorClipMs, so that a lost
// packet or a stalled server does not distort the speed of all servers.
constexpr double relativeErrorClip = 0.5;
constexpr double errorClipMs = 40;
// Weight of the error of answers that are later than predicted: requests that other routers sent a
// moment ago are not reported yet and delay answers, but are not part of a server's speed.
constexpr double positiveErrorWeight = 0.3;
constexpr double minBaseMs = 0.5;
constexpr double minMsPerUnit = 0;

} // namespace

PrefillSpeed::PrefillSpeed(double initialTokensPerMs)
{
    const double tokensPerMs = initialTokensPerMs > 0 ? initialTokensPerMs : defaultTokensPerMs;
    weights_ = {defaultBaseMs, tokenUnit / tokensPerMs, 0};
    for (std::size_t i = 0; i < featureCount; ++i)
        inverseCorrelation_[i][i] = initialInverseCorrelation;
}

PrefillSpeed::Features PrefillSpeed::featuresOf(const PrefillWork &work)
{
    const double pairs = work.uncachedTokens * (work.cachedTokens + work.uncachedTokens / 2);
    return {1, work.uncachedTokens / tokenUnit, pairs / pairUnit};
}

double PrefillSpeed::estimate(const Features &features) const
{
    double sum = 0;
    for (std::size_t i = 0; i < featureCount; ++i)
        sum += weights_[i] * features[i];
    return sum;
}

double PrefillSpeed::baseMs() const
{
    return weights_[0];
}

double PrefillSpeed::prefillMs(const PrefillWork &work) const
{
    return estimate(featuresOf(work)) - weights_[0];
}

double PrefillSpeed::msPerToken() const
{
    return weights_[1] / tokenUnit;
}

double PrefillSpeed::msPerPair() const
{
    return weights_[2] / pairUnit;
}

void PrefillSpeed::train(const PrefillWork &work, double tookMs)
{
    const Features features = featuresOf(work);
    const double expected = estimate(features);
    const double clip = relativeErrorClip * expected + errorClipMs;
    const double clipped = std::clamp(tookMs - expected, -clip, clip);
    const double error = clipped > 0 ? positiveErrorWeight * clipped : clipped;

    Features gain{};
    double scale = forgettingFactor;
    for (std::size_t i = 0; i < featureCount; ++i) {
        for (std::size_t j = 0; j < featureCount; ++j)
            gain[i] += inverseCorrelation_[i][j] * features[j];
        scale += features[i] * gain[i];
    }
    for (std::size_t i = 0; i < featureCount; ++i)
        weights_[i] = std::max(weights_[i] + gain[i] / scale * error, minMsPerUnit);
    weights_[0] = std::max(weights_[0], minBaseMs);
    for (std::size_t i = 0; i < featureCount; ++i) {
        for (std::size_t j = 0; j < featureCount; ++j) {
            double &value = inverseCorrelation_[i][j];
            value = (value - gain[i] * gain[j] / scale) / forgettingFactor;
            value = std::clamp(value, -maxInverseCorrelation, maxInverseCorrelation);
        }
    }
}

} // namespace lovagecourse
