#include "scheduling/CostEstimator.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace lovagecourse {

namespace {

/// Weight of the newest request in the moving means.
constexpr double meanWeight = 0.1;
constexpr double ratioWeight = 0.2;
/// Costs below this are taken as this, so that logarithms stay finite.
constexpr double leastWork = 1e-3;

/// Factor between two works, as a logarithm.
double logRatio(Work actual, Work predicted)
{
    return std::log(std::max(actual.value, leastWork) / std::max(predicted.value, leastWork));
}

void approach(double &mean, double value, double weight)
{
    mean += weight * (value - mean);
}

/// What the finished requests of one flow showed.
struct History
{
    double mean = 0;
    bool hasMean = false;
    /// Mean logarithm of actual cost over hint.
    double hintRatio = 0;
    bool hasHintRatio = false;
    /// Mean distances, as logarithms, of both predictions from the actual cost.
    double meanError = 0;
    double hintError = 0;

    Work correctedHint(Work hint) const { return Work(hint.value * std::exp(hintRatio)); }
};

} // namespace

struct CostEstimator::Impl
{
    std::unordered_map<FlowId, History> histories;
};

CostEstimator::CostEstimator()
    : impl_(std::make_unique<Impl>())
{}

CostEstimator::~CostEstimator() = default;

CostEstimate CostEstimator::estimate(const FlowId &flow, const Service &service,
                                     std::optional<Work> hint) const
{
    Work expected = hint.value_or(service.defaultCost);
    const auto found = impl_->histories.find(flow);
    if (found != impl_->histories.end()) {
        const History &history = found->second;
        // Hints that say less than the mean does are ignored.
        const bool useHint = hint && history.hasHintRatio && history.hintError <= history.meanError;
        if (useHint)
            expected = history.correctedHint(*hint);
        else if (history.hasMean)
            expected = Work(history.mean);
    }
    const bool isLong = expected > service.longAbove;
    return {expected, isLong ? CostClass::Long : CostClass::Short};
}

void CostEstimator::onFinished(const FlowId &flow, std::optional<Work> hint, Work actual)
{
    History &history = impl_->histories[flow];
    if (hint && history.hasHintRatio && history.hasMean) {
        const double hintError = std::abs(logRatio(actual, history.correctedHint(*hint)));
        approach(history.hintError, hintError, ratioWeight);
        approach(history.meanError, std::abs(logRatio(actual, Work(history.mean))), ratioWeight);
    }
    approach(history.mean, actual.value, history.hasMean ? meanWeight : 1);
    history.hasMean = true;
    if (!hint)
        return;
    approach(history.hintRatio, logRatio(actual, *hint), history.hasHintRatio ? ratioWeight : 1);
    history.hasHintRatio = true;
}

} // namespace lovagecourse
