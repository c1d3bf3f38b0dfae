#include "scheduling/CostEstimator.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace lovagecourse {

namespace {

/// Weights of the newest sample in the exponential moving averages of costs and of log ratios.
constexpr double meanSmoothing = 0.1;
constexpr double ratioSmoothing = 0.2;
/// Lower bound of costs in ratios, so that logarithms stay finite.
constexpr double minWork = 1e-3;

/// Natural logarithm of actual / predicted.
double logRatio(Work actual, Work predicted)
{
    return std::log(std::max(actual.value, minWork) / std::max(predicted.value, minWork));
}

/// Moves an exponential moving average towards value.
void updateMean(double &mean, double value, double weight)
{
    mean += weight * (value - mean);
}

/// Moving averages over the finished requests of a flow or service.
struct CostHistory
{
    /// Mean measured cost.
    double mean = 0;
    bool hasMean = false;
    /// Mean of log(actual cost / hint).
    double hintRatio = 0;
    bool hasHintRatio = false;
    /// Mean absolute log error of the mean and of the corrected hint as predictions.
    double meanError = 0;
    double hintError = 0;

    Work correctedHint(Work hint) const { return Work(hint.value * std::exp(hintRatio)); }
    void addSample(std::optional<Work> hint, Work actual);
};

void CostHistory::addSample(std::optional<Work> hint, Work actual)
{
    if (hint && hasHintRatio && hasMean) {
        updateMean(hintError, std::abs(logRatio(actual, correctedHint(*hint))), ratioSmoothing);
        updateMean(meanError, std::abs(logRatio(actual, Work(mean))), ratioSmoothing);
    }
    updateMean(mean, actual.value, hasMean ? meanSmoothing : 1);
    hasMean = true;
    if (!hint)
        return;
    updateMean(hintRatio, logRatio(actual, *hint), hasHintRatio ? ratioSmoothing : 1);
    hasHintRatio = true;
}

} // namespace

struct CostEstimator::Impl
{
    const CostHistory *historyOf(const FlowId &flow) const;

    std::unordered_map<FlowId, CostHistory> flowHistories;
    /// All flows of a service together; used for flows without a history.
    std::unordered_map<ServiceId, CostHistory> serviceHistories;
};

const CostHistory *CostEstimator::Impl::historyOf(const FlowId &flow) const
{
    const auto own = flowHistories.find(flow);
    if (own != flowHistories.end())
        return &own->second;
    const auto common = serviceHistories.find(flow.service);
    return common == serviceHistories.end() ? nullptr : &common->second;
}

CostEstimator::CostEstimator()
    : impl_(std::make_unique<Impl>())
{}

CostEstimator::~CostEstimator() = default;

CostEstimate CostEstimator::estimate(const FlowId &flow, const Service &service,
                                     std::optional<Work> hint) const
{
    Work expected = hint.value_or(service.defaultCost);
    if (const CostHistory *history = impl_->historyOf(flow)) {
        // Hints that predict the cost worse than the mean are ignored.
        const bool useHint =
                hint && history->hasHintRatio && history->hintError <= history->meanError;
        if (useHint)
            expected = history->correctedHint(*hint);
        else if (history->hasMean)
            expected = Work(history->mean);
    }
    const bool isLong = expected > service.longAbove;
    return {expected, isLong ? CostClass::Long : CostClass::Short};
}

void CostEstimator::onFinished(const FlowId &flow, std::optional<Work> hint, Work actual)
{
    impl_->flowHistories[flow].addSample(hint, actual);
    impl_->serviceHistories[flow.service].addSample(hint, actual);
}

} // namespace lovagecourse
