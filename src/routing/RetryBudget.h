#pragma once

namespace lovagecourse {

/// Token bucket that limits retries or hedged requests to a share of the requests, so that they
/// can't multiply the load.
class RetryBudget
{
public:
    /// ratio: extra attempts per request; reserve: capacity of the bucket, in extra attempts. The
    /// bucket starts full.
    RetryBudget(double ratio, double reserve);

    /// Counts one request: adds ratio to the bucket.
    void onRequest();
    /// Takes one extra attempt; false when the budget is used up.
    bool tryTake();

private:
    double ratio_;
    double reserve_;
    double available_;
};

} // namespace lovagecourse
