#pragma once

#include "core/Units.h"
#include "gateway/HttpGateway.h"
#include "wire/Messages.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace lovagecourse {

/// Requests of one flow that wait for a grant, short ones first.
class WaitingRequests
{
public:
    /// Waiting requests of the flow at this entry.
    std::size_t count(const FlowId &flow) const;
    /// Adds a request at the end of its class, or in front when it was taken before.
    void add(const FlowId &flow, CostClass costClass, CallerId caller, bool inFront);
    void remove(const FlowId &flow, CallerId caller);
    /// The first waiting requests of a flow; the oldest long one is among them, so that long
    /// requests are offered while short ones keep coming.
    std::vector<CallerId> first(const FlowId &flow, std::size_t maxCount) const;
    std::vector<FlowId> flows() const;

private:
    struct Queues
    {
        std::deque<CallerId> shortOnes;
        std::deque<CallerId> longOnes;
    };

    std::map<FlowId, Queues> flows_;
};

} // namespace lovagecourse
