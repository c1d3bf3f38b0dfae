#pragma once

#include "core/Clock.h"

#include <cstddef>

namespace lovagecourse {

/// Load of a process in one interval.
struct ProcessLoad
{
    /// Delay of the event loop at the end of the interval, in ms, without storeMs.
    double loopDelayMs = 0;
    /// Part of the interval that was spent in callbacks, from 0 to 1, without storeMs.
    double busyShare = 0;
    /// Length of the interval, in ms.
    double intervalMs = 0;
    /// Requests that were received in the interval.
    std::size_t received = 0;
    /// Requests that are open at its end.
    std::size_t open = 0;
    /// Time that went into answers of the store, in ms.
    double storeMs = 0;
};

/// True if the process has more work than processor time. A process that was suspended is late as
/// well, but was not busy meanwhile.
bool isOverloaded(const ProcessLoad &load);

/// Limits the open requests of a process whose event loop is overloaded, such as one on a small
/// host that the load balancer sends as many callers as a large one. Without the limit every caller
/// waits for seconds and leaves before its answer; with it, excess callers are rejected at once and
/// can use another router. A process that was suspended within a callback, and is late once or
/// twice because of that, looks overloaded as well; such a limit is lifted soon.
class IntakeLimit
{
public:
    /// processorShare: part of a core that the process may use; gives the cost of a request until
    /// it is measured.
    explicit IntakeLimit(double processorShare);

    /// Returns the number of connections to accept in the next interval, at least 1.
    std::size_t onInterval(const ProcessLoad &load, TimePoint now);
    bool isLimited() const { return maxOpen_ < unlimitedOpen; }
    double maxOpen() const { return maxOpen_; }
    /// Number of waiting connections to accept at a time. The work of more of them would delay the
    /// event loop so much that the last callers wait for too long; those are better off with
    /// another router at once. Follows from the measured cost of a request, so that it fits hosts
    /// of any speed, and falls with the event loop delay.
    std::size_t acceptsAtOnce() const;
    /// Processing time of one further request, with its answer, in ms of this host. It does not
    /// contain the work that the process has without requests, such as reports of other routers,
    /// once a few seconds with few requests have shown it: on a host of 0.068 cores, that work
    /// takes 0.15 of the time, and a request would seem to cost up to 2.6 times its time.
    double requestCostMs() const { return requestCostMs_; }

private:
    /// More requests than a router on the largest host has open; stands for no limit.
    static constexpr double unlimitedOpen = 10000;

    void learnRequestCost(const ProcessLoad &load);
    void learnFixedShare(double busyShare);
    double fixedShare() const;
    void lower(double open, TimePoint now);
    void grow(double open);
    bool isUnconfirmed(TimePoint now) const;

    double maxOpen_ = unlimitedOpen;
    /// Until then the limit does not fall again, because the last decrease has not taken effect.
    TimePoint cooldownUntil_;
    /// Overloaded intervals of the current overload, or of the last one.
    unsigned overloadedIntervals_ = 0;
    TimePoint lastOverloaded_;
    double requestCostMs_;
    /// Part of the time that the process is busy without requests, from 0 to 1; see fixedShare().
    double measuredFixedShare_ = 0;
    unsigned quietSeconds_ = 0;
    /// Of the last interval.
    double loopDelayMs_ = 0;
    /// Sums of the current measurement of the cost.
    double measuredMs_ = 0;
    double measuredBusyMs_ = 0;
    std::size_t measuredRequests_ = 0;
};

} // namespace lovagecourse
