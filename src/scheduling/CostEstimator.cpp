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
    void learn(std::optional<Work> hint, Work actual);
};

void History::learn(std::optional<Work> hint, Work actual)
{
    if (hint && hasHintRatio && hasMean) {
        approach(hintError, std::abs(logRatio(actual, correctedHint(*hint))), ratioWeight);
        approach(meanError, std::abs(logRatio(actual, Work(mean))), ratioWeight);
    }
    approach(mean, actual.value, hasMean ? meanWeight : 1);
    hasMean = true;
    if (!hint)
        return;
    approach(hintRatio, logRatio(actual, *hint), hasHintRatio ? ratioWeight : 1);
    hasHintRatio = true;
}

} // namespace

struct CostEstimator::Impl
{
    const History *historyOf(const FlowId &flow) const;

    std::unordered_map<FlowId, History> histories;
    /// All flows of a service together, for flows without a history.
    std::unordered_map<ServiceId, History> services;
};

const History *CostEstimator::Impl::historyOf(const FlowId &flow) const
{
    const auto own = histories.find(flow);
    if (own != histories.end())
        return &own->second;
    const auto common = services.find(flow.service);
    return common == services.end() ? nullptr : &common->second;
}

CostEstimator::CostEstimator()
    : impl_(std::make_unique<Impl>())
{}

CostEstimator::~CostEstimator() = default;

CostEstimate CostEstimator::estimate(const FlowId &flow, const Service &service,
                                     std::optional<Work> hint) const
{
    Work expected = hint.value_or(service.defaultCost);
    if (const History *history = impl_->historyOf(flow)) {
        // Hints that say less than the mean does are ignored.
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
    impl_->histories[flow].learn(hint, actual);
    impl_->services[flow.service].learn(hint, actual);
}

} // namespace lovagecourse
