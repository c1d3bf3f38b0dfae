#pragma once

#include "core/Clock.h"

#include <array>
#include <cstdint>

namespace lovagecourse {

/// One router's part of the hedges that a service may have: a share of the router's own requests.
/// The sum over all routers is the share of the service's requests without any exchange between
/// routers, so lost or late reports can't exceed it. There is no slack: a router hedges nothing
/// before it has received 1 / share requests.
class HedgeBudget
{
public:
    /// share: of the requests, 0 to 1.
    explicit HedgeBudget(double share = 0);

    /// Hedges that are already earned are kept, up to the new share of the window.
    void setShare(double share);
    void onRequest(TimePoint now);
    bool canTake(TimePoint now);
    /// Takes one hedge; false when none is left.
    bool tryTake(TimePoint now);

private:
    static constexpr std::size_t bucketCount = 10;

    struct Bucket
    {
        std::int64_t number = -1;
        unsigned requests = 0;
    };

    /// Removes credit that was earned by requests before the window.
    void expire(TimePoint now);

    double share_;
    double credit_ = 0;
    std::array<Bucket, bucketCount> buckets_;
};

} // namespace lovagecourse
