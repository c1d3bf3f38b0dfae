#include "placing/ReadingSpeed.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Share of its weight that a sample keeps with each later one: about 300 samples count.
constexpr double forgetting = 0.997;
// Units that bring usual prompts near 1.
constexpr double tokenUnit = 1000;
constexpr double pairUnit = 1e8;
// First guesses for a usual plain service and a middle-sized engine.
constexpr double unknownBaseMs = 40;
constexpr double unknownTokensPerMs = 50;
constexpr double initialUncertainty = 100;
constexpr double maxUncertainty = 1e4;
// A sample counts at most this far from its prediction, so that a lost packet or a stalled server
// does not bend the speed of all servers.
constexpr double clipShare = 0.5;
constexpr double clipMs = 40;
// Weight of an answer that came later than expected: work that other routers sent a moment ago is
// not known yet and delays answers, but is no part of a server's speed.
constexpr double lateWeight = 0.3;
constexpr double minBaseMs = 0.5;
constexpr double minMsPerUnit = 0;

} // namespace

ReadingSpeed::ReadingSpeed(double fleetTokensPerMs)
{
    const double tokensPerMs = fleetTokensPerMs > 0 ? fleetTokensPerMs : unknownTokensPerMs;
    weights_ = {unknownBaseMs, tokenUnit / tokensPerMs, 0};
    for (std::size_t i = 0; i < featureCount; ++i)
        uncertainty_[i][i] = initialUncertainty;
}

ReadingSpeed::Features ReadingSpeed::featuresOf(const PromptWork &work)
{
    const double pairs = work.unreadTokens * (work.keptTokens + work.unreadTokens / 2);
    return {1, work.unreadTokens / tokenUnit, pairs / pairUnit};
}

double ReadingSpeed::estimate(const Features &features) const
{
    double sum = 0;
    for (std::size_t i = 0; i < featureCount; ++i)
        sum += weights_[i] * features[i];
    return sum;
}

double ReadingSpeed::baseMs() const
{
    return weights_[0];
}

double ReadingSpeed::readMs(const PromptWork &work) const
{
    return estimate(featuresOf(work)) - weights_[0];
}

double ReadingSpeed::msPerToken() const
{
    return weights_[1] / tokenUnit;
}

double ReadingSpeed::msPerPair() const
{
    return weights_[2] / pairUnit;
}

void ReadingSpeed::learn(const PromptWork &work, double tookMs)
{
    const Features features = featuresOf(work);
    const double expected = estimate(features);
    const double clip = clipShare * expected + clipMs;
    const double clipped = std::clamp(tookMs - expected, -clip, clip);
    const double error = clipped > 0 ? lateWeight * clipped : clipped;

    Features gain{};
    double scale = forgetting;
    for (std::size_t i = 0; i < featureCount; ++i) {
        for (std::size_t j = 0; j < featureCount; ++j)
            gain[i] += uncertainty_[i][j] * features[j];
        scale += features[i] * gain[i];
    }
    for (std::size_t i = 0; i < featureCount; ++i)
        weights_[i] = std::max(weights_[i] + gain[i] / scale * error, minMsPerUnit);
    weights_[0] = std::max(weights_[0], minBaseMs);
    for (std::size_t i = 0; i < featureCount; ++i) {
        for (std::size_t j = 0; j < featureCount; ++j) {
            double &value = uncertainty_[i][j];
            value = (value - gain[i] * gain[j] / scale) / forgetting;
            value = std::clamp(value, -maxUncertainty, maxUncertainty);
        }
    }
}

} // namespace lovagecourse
