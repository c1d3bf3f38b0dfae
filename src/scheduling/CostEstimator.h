#pragma once

#include "configuration/ConfigurationState.h"
#include "core/Units.h"
#include "wire/Messages.h"

#include <memory>
#include <optional>

namespace lovagecourse {

/// Expected work of a request and its cost class.
struct CostEstimate
{
    Work expected;
    CostClass costClass = CostClass::Short;
};

/// Estimates the cost of requests from moving averages of measured costs per flow.
///
/// Callers' cost hints are corrected by their mean ratio to the measured cost, and are used only
/// while they predict the cost at least as well as the flow's mean does.
class CostEstimator
{
public:
    CostEstimator();
    ~CostEstimator();
    CostEstimator(const CostEstimator &) = delete;
    CostEstimator &operator=(const CostEstimator &) = delete;

    /// Estimates from the flow's history and the caller's hint, if any. A flow without history uses
    /// that of its service, and without it the hint or the service's default cost.
    CostEstimate estimate(const FlowId &flow, const Service &service,
                          std::optional<Work> hint) const;
    /// Adds the measured work of a finished request to the history.
    void onFinished(const FlowId &flow, std::optional<Work> hint, Work actual);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
