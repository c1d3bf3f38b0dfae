#pragma once

#include "core/EventLoop.h"
#include "core/Metrics.h"
#include "direct/ClientRequest.h"
#include "direct/DirectConfiguration.h"
#include "direct/ServerPool.h"
#include "gateway/HttpGateway.h"
#include "http/HttpClient.h"
#include "placing/FairShares.h"
#include "placing/FleetRetryBudget.h"

#include <functional>
#include <memory>

namespace lovagecourse {

/// What a router works with; all of it outlives the router.
struct DirectContext
{
    EventLoop &loop;
    const Clock &clock;
    Metrics &metrics;
    HttpClient &http;
    const RequestCodec &codec;
    ServerPool &pool;
    FairShares &shares;
    RetryLimits repeatLimits;
    /// Routers of the fleet that are known to live, with this one.
    std::function<std::size_t()> routerCount;
};

/// Brings callers' requests straight to backend servers and the answers back.
class DirectRouter
{
public:
    explicit DirectRouter(DirectContext context);
    ~DirectRouter();
    DirectRouter(const DirectRouter &) = delete;
    DirectRouter &operator=(const DirectRouter &) = delete;

    /// Must come before the first request.
    void setGateway(HttpGateway &gateway);
    void setConfiguration(std::shared_ptr<const DirectConfiguration> configuration);
    /// Keeps what was used of the former limits.
    void setRepeatLimits(const RetryLimits &limits);
    void onRequest(CallerRequest &&request);
    void onCallerLeft(CallerId caller);
    void onConsumed(CallerId caller, std::size_t bytes);
    /// The process ends soon: new requests are refused as not run, so that callers go elsewhere.
    void refuseNewRequests();
    std::size_t openRequests() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovagecourse
