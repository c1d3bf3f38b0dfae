#pragma once

namespace lovagecourse {

/// Limits retries or hedges to a share of the requests, so that they can't multiply.
class RetryBudget
{
public:
    /// ratio: extra attempts per request; reserve: extra attempts that may be saved up.
    RetryBudget(double ratio, double reserve);

    /// Counts one request.
    void onRequest();
    /// Takes one extra attempt; false when the budget is used up.
    bool tryTake();

private:
    double ratio_;
    double reserve_;
    double available_;
};

} // namespace lovagecourse
