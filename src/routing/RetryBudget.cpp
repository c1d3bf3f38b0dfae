#include "routing/RetryBudget.h"

#include <algorithm>
#include <cassert>

namespace lovagecourse {

namespace {

// With floating-point rounding, ten times 0.1 adds up to slightly less than 1.
constexpr double roundingTolerance = 1e-6;

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
    if (available_ + roundingTolerance < 1)
        return false;
    available_ = std::max(0.0, available_ - 1);
    return true;
}

} // namespace lovagecourse
