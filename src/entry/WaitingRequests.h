#pragma once

#include "core/Units.h"
#include "gateway/HttpGateway.h"
#include "wire/Messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace lovagecourse {

/// Requests that wait for a grant, per flow in two queues: for short and for long requests.
class WaitingRequests
{
public:
    /// Number of the flow's waiting requests at this entry.
    std::size_t count(const FlowId &flow) const;
    /// Adds a request at the end of its cost class, or at the front when it returns after a failed
    /// attempt.
    void add(const FlowId &flow, CostClass costClass, CallerId caller, bool atFront);
    void remove(const FlowId &flow, CallerId caller);
    /// Up to maxCount requests of a flow: the oldest long one, then short ones, then further long
    /// ones. Long requests are thus offered even while short ones keep arriving.
    std::vector<CallerId> first(const FlowId &flow, std::size_t maxCount) const;
    std::vector<FlowId> flows() const;

private:
    struct Queues
    {
        std::deque<CallerId> shortRequests;
        std::deque<CallerId> longRequests;
    };

    std::map<FlowId, Queues> flows_;
};

} // namespace lovagecourse
