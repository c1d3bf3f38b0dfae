#include "routing/RetryBudget.h"

#include <algorithm>
#include <cassert>

namespace lovagecourse {

namespace {

// Ten tenths add up to slightly less than one.
constexpr double roundingAllowance = 1e-6;

} // namespace

RetryBudget::RetryBudget(double ratio, double reserve)
    : ratio_(ratio)
    , reserve_(reserve)
    , available_(reserve)
{
    assert(ratio >= 0);
    assert(reserve >= 0);
}

void RetryBudget::onRequest()
{
    available_ = std::min(reserve_, available_ + ratio_);
}

bool RetryBudget::tryTake()
{
    if (available_ + roundingAllowance < 1)
        return false;
    available_ = std::max(0.0, available_ - 1);
    return true;
}

} // namespace lovagecourse
