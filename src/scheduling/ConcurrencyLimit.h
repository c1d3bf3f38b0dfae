#pragma once

#include "configuration/ConfigurationState.h"
#include "core/Clock.h"

#include <memory>

namespace lovagecourse {

/// Bounds and aims of a concurrency limit.
struct ConcurrencyLimitOptions
{
    int minLimit = 1;
    int maxLimit = 64;
    ServiceKind kind = ServiceKind::Model;
    milliseconds firstTokenAim{830};
    milliseconds tokenGapAim{56};
    /// Above 0: the limit never changes.
    int fixedLimit = 0;
};

/// Finds how many requests a server runs well at once, from what its agent sees.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencyLimitOptions &options);
    ~ConcurrencyLimit();
    ConcurrencyLimit(const ConcurrencyLimit &) = delete;
    ConcurrencyLimit &operator=(const ConcurrencyLimit &) = delete;

    /// Time from the request to the first byte or token.
    void onFirstToken(std::chrono::nanoseconds latency);
    /// Mean time between the tokens that arrived together and the ones before.
    void onTokenGap(std::chrono::nanoseconds gap);
    /// Whole service time of a plain call.
    void onServiceTime(std::chrono::nanoseconds latency);
    /// Adjusts the limit; call at least every 100 ms. workWaits: offers wait for a slot.
    void onTick(TimePoint now, int inFlight, bool workWaits);
    int limit() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
