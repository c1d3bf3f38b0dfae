#pragma once

#include "configuration/ConfigurationState.h"
#include "core/Clock.h"

#include <memory>

namespace lovagecourse {

/// Bounds and latency targets of a concurrency limit.
struct ConcurrencyLimitOptions
{
    int minLimit = 1;
    int maxLimit = 64;
    ServiceKind kind = ServiceKind::Model;
    /// Targets for the 95th percentile of model services.
    milliseconds firstTokenTarget{830};
    milliseconds interTokenTarget{56};
    /// Constant limit; 0 for an adaptive limit.
    int fixedLimit = 0;
};

/// Adapts the number of requests that a server may run at once to the latencies its agent measures.
///
/// Model services have targets for first-token and inter-token latency; for plain services the
/// target of the median service time is twice its slowly rising minimum plus 1 ms. The limit
/// grows only while offers wait and nearly all slots are in use.
class ConcurrencyLimit
{
public:
    explicit ConcurrencyLimit(const ConcurrencyLimitOptions &options);
    ~ConcurrencyLimit();
    ConcurrencyLimit(const ConcurrencyLimit &) = delete;
    ConcurrencyLimit &operator=(const ConcurrencyLimit &) = delete;

    /// Adds the time from a request to its first token.
    void onFirstToken(std::chrono::nanoseconds latency);
    /// Adds a mean inter-token latency: the time since the previous part of the stream divided by
    /// the number of tokens in this part.
    void onInterTokenLatency(std::chrono::nanoseconds latency);
    /// Adds the service time of a request to a plain service.
    void onServiceTime(std::chrono::nanoseconds latency);
    /// Adjusts the limit at the end of a window; call at least every 100 ms. hasWaiting: offers
    /// wait for a slot.
    void onTick(TimePoint now, int inFlight, bool hasWaiting);
    /// Highest number of requests in flight.
    int limit() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
