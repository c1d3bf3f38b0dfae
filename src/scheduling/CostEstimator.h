#pragma once

#include "configuration/ConfigurationState.h"
#include "core/Units.h"
#include "wire/Messages.h"

#include <memory>
#include <optional>

namespace lovagecourse {

/// Expected service of a request.
struct CostEstimate
{
    Work expected;
    CostClass costClass = CostClass::Short;
};

/// Learns what requests cost per flow, and how far hints are to be trusted.
class CostEstimator
{
public:
    CostEstimator();
    ~CostEstimator();
    CostEstimator(const CostEstimator &) = delete;
    CostEstimator &operator=(const CostEstimator &) = delete;

    /// Estimate from the flow's history and the caller's hint, if any.
    CostEstimate estimate(const FlowId &flow, const Service &service,
                          std::optional<Work> hint) const;
    /// Takes the measured service of a request.
    void onFinished(const FlowId &flow, std::optional<Work> hint, Work actual);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
