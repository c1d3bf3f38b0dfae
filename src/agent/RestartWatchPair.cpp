#include "agent/RestartWatchPair.h"

#include <algorithm>
#include <chrono>

namespace lovagecourse {

namespace {

// Longer than the time within which ends count as one crash (routing/BreakEvidence), with room for
// a server whose idle timeouts are late.
constexpr milliseconds minStartDistance{300};

} // namespace

RestartWatchPair::RestartWatchPair(EventLoop &loop, const Clock &clock)
    : clock_(clock)
    , first_(loop, clock, [this] { return delayAfter(second_); })
    , second_(loop, clock, [this] { return delayAfter(first_); })
{}

void RestartWatchPair::watch(const Endpoint &address)
{
    first_.watch(address);
    second_.watch(address);
}

std::vector<IdleEnd> RestartWatchPair::ends() const
{
    std::vector<IdleEnd> ends = first_.ends();
    ends.insert(ends.end(), second_.ends().begin(), second_.ends().end());
    std::stable_sort(ends.begin(), ends.end(), [](const IdleEnd &left, const IdleEnd &right) {
        return left.noticedAt < right.noticedAt;
    });
    return ends;
}

std::optional<TimePoint> RestartWatchPair::oldestOpen() const
{
    const auto first = first_.openSince();
    const auto second = second_.openSince();
    return first && second ? std::min(first, second) : first ? first : second;
}

milliseconds RestartWatchPair::delayAfter(const RestartWatch &other) const
{
    const auto startedAt = other.startedAt();
    if (!startedAt)
        return milliseconds(0);
    return std::chrono::ceil<milliseconds>(*startedAt + minStartDistance - clock_.now());
}

} // namespace lovagecourse
