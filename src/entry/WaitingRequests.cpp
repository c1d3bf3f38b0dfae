#include "entry/WaitingRequests.h"

#include <algorithm>

namespace lovagecourse {

std::size_t WaitingRequests::count(const FlowId &flow) const
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return 0;
    return found->second.shortOnes.size() + found->second.longOnes.size();
}

void WaitingRequests::add(const FlowId &flow, CostClass costClass, CallerId caller, bool inFront)
{
    Queues &queues = flows_[flow];
    std::deque<CallerId> &queue =
            costClass == CostClass::Short ? queues.shortOnes : queues.longOnes;
    if (inFront)
        queue.push_front(caller);
    else
        queue.push_back(caller);
}

void WaitingRequests::remove(const FlowId &flow, CallerId caller)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return;
    for (std::deque<CallerId> *queue : {&found->second.shortOnes, &found->second.longOnes}) {
        const auto position = std::find(queue->begin(), queue->end(), caller);
        if (position != queue->end())
            queue->erase(position);
    }
    if (found->second.shortOnes.empty() && found->second.longOnes.empty())
        flows_.erase(found);
}

std::vector<CallerId> WaitingRequests::first(const FlowId &flow, std::size_t maxCount) const
{
    std::vector<CallerId> result;
    const auto found = flows_.find(flow);
    if (found == flows_.end())
        return result;
    const Queues &queues = found->second;
    if (!queues.longOnes.empty())
        result.push_back(queues.longOnes.front());
    for (const CallerId caller : queues.shortOnes) {
        if (result.size() >= maxCount)
            return result;
        result.push_back(caller);
    }
    for (std::size_t i = 1; i < queues.longOnes.size() && result.size() < maxCount; ++i)
        result.push_back(queues.longOnes[i]);
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
