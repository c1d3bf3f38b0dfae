#include "placing/ReturnPromises.h"

#include <algorithm>

namespace lovagecourse {

void ReturnPromises::removeExpired(TimePoint now)
{
    std::erase_if(told_, [now](const auto &entry) { return now > entry.second.back() + window; });
    removedAt_ = now;
}

void ReturnPromises::onRejected(AccountHash account, milliseconds retryAfter, TimePoint now)
{
    if (now - removedAt_ >= removeInterval)
        removeExpired(now);
    std::deque<TimePoint> &times = told_[account];
    while (!times.empty() && now > times.front() + window)
        times.pop_front();
    if (times.size() >= maxPerAccount)
        return;
    const TimePoint due = now + retryAfter;
    times.insert(std::upper_bound(times.begin(), times.end(), due), due);
}

bool ReturnPromises::takeReturn(AccountHash account, TimePoint now)
{
    const auto found = told_.find(account);
    if (found == told_.end())
        return false;
    std::deque<TimePoint> &times = found->second;
    while (!times.empty() && now > times.front() + window)
        times.pop_front();
    const bool isReturn = !times.empty() && times.front() <= now;
    if (isReturn)
        times.pop_front();
    if (times.empty())
        told_.erase(found);
    return isReturn;
}

} // namespace lovagecourse
