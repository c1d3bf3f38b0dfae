#pragma once

#include "agent/RestartWatch.h"

#include <optional>
#include <vector>

namespace lovagecourse {

/// Two idle connections to the backend server that are never started at the same time. A crash of
/// its process ends them together, an idle timeout ends them one after the other.
class RestartWatchPair
{
public:
    RestartWatchPair(EventLoop &loop, const Clock &clock);

    /// Keeps both connections open to the address.
    void watch(const Endpoint &address);
    /// Latest ends of both connections, in order of the time at which they were noticed.
    std::vector<IdleEnd> ends() const;
    /// When the older one of the open connections was established; empty if none is open.
    std::optional<TimePoint> oldestOpen() const;

private:
    /// Time until a connection may be started beside the other one.
    milliseconds delayAfter(const RestartWatch &other) const;

    const Clock &clock_;
    RestartWatch first_;
    RestartWatch second_;
};

} // namespace lovagecourse
