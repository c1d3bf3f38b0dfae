#include "entry/WaitingRequests.h"

#include <algorithm>

namespace lovagecourse {

std::size_t WaitingRequests::count(const FlowId &flow) const
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return 0;
    return found->second.shortRequests.size() + found->second.longRequests.size();
}

void WaitingRequests::add(const FlowId &flow, CostClass costClass, CallerId caller, bool atFront)
{
    Queues &queues = flows_[flow];
    std::deque<CallerId> &queue =
            costClass == CostClass::Short ? queues.shortRequests : queues.longRequests;
    if (atFront)
        queue.push_front(caller);
    else
        queue.push_back(caller);
}

void WaitingRequests::remove(const FlowId &flow, CallerId caller)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return;
    for (std::deque<CallerId> *queue :
         {&found->second.shortRequests, &found->second.longRequests}) {
        const auto position = std::find(queue->begin(), queue->end(), caller);
        if (position != queue->end())
            queue->erase(position);
    }
    if (found->second.shortRequests.empty() && found->second.longRequests.empty())
        flows_.erase(found);
}

std::vector<CallerId> WaitingRequests::first(const FlowId &flow, std::size_t maxCount) const
{
    std::vector<CallerId> result;
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return result;
    const Queues &queues = found->second;
    if (!queues.longRequests.empty())
        result.push_back(queues.longRequests.front());
    for (const CallerId caller : queues.shortRequests) {
        if (result.size() >= maxCount)
            return result;
        result.push_back(caller);
    }
    for (std::size_t i = 1; i < queues.longRequests.size() && result.size() < maxCount; ++i)
        result.push_back(queues.longRequests[i]);
    return result;
}

std::vector<FlowId> WaitingRequests::flows() const
{
    std::vector<FlowId> result;
    for (const auto &[flow, queues] : flows_)
        result.push_back(flow);
    return result;
}

} // namespace lovagecourse
