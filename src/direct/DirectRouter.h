#pragma once

#include "core/EventLoop.h"
#include "core/Metrics.h"
#include "direct/ClientRequest.h"
#include "direct/DirectConfiguration.h"
#include "direct/ServerPool.h"
#include "gateway/HttpGateway.h"
#include "http/HttpClient.h"
#include "placing/CrashTraits.h"
#include "placing/FairShares.h"
#include "placing/FleetRetryBudget.h"
#include "resuming/ResumableStreams.h"

#include <functional>
#include <memory>

namespace lovagecourse {

/// Dependencies of a router; the referenced objects outlive it.
struct DirectContext
{
    EventLoop &loop;
    const Clock &clock;
    Metrics &metrics;
    HttpClient &http;
    const RequestCodec &codec;
    ServerPool &pool;
    FairShares &shares;
    RetryLimits retryLimits;
    /// Number of live routers in the fleet, including this one.
    std::function<std::size_t()> routerCount;
    CrashTraits &crashTraits;
    /// Called when this router has seen a crash that is new, or an answer that clears a trait.
    std::function<void(const TraitCrash &crash)> onTraitCrash;
    std::function<void(TraitHash trait)> onTraitCleared;
    /// Tells at which software version a stream may go on.
    ResumableStreams &streams;
    /// Counts buffered answers; null means no limit.
    MemoryAccount *memory = nullptr;
};

/// Forwards callers' requests directly to backend servers and their answers back. Retries at other
/// servers as the route's kind, the deadline and the retry budget allow.
class DirectRouter
{
public:
    explicit DirectRouter(DirectContext context);
    ~DirectRouter();
    DirectRouter(const DirectRouter &) = delete;
    DirectRouter &operator=(const DirectRouter &) = delete;

    /// Must be called before the first request.
    void setGateway(HttpGateway &gateway);
    void setConfiguration(std::shared_ptr<const DirectConfiguration> configuration);
    /// Changes the limits of all retry budgets; retries already made still count.
    void setRetryLimits(const RetryLimits &limits);
    /// Sets the share of the requests, 0 to 1, that may be hedged; 0, the default, turns hedged
    /// requests off.
    void setHedgeShare(double share);
    void onRequest(CallerRequest &&request);
    void onCallerLeft(CallerId caller);
    void onConsumed(CallerId caller, std::size_t bytes);
    /// The process exits at this time: requests that may take longer are refused as not run.
    void setExitTime(TimePoint exit);
    /// Ends all open requests, because the process exits: those whose answer has not begun with an
    /// error, streams that have begun by breaking them off.
    void endOpenRequests();
    /// Refuses all further requests as not run, so that callers retry at another router; for use
    /// shortly before the process exits.
    void refuseNewRequests();
    std::size_t openRequests() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
