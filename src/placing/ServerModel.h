#pragma once

#include "core/Clock.h"
#include "placing/PrefillSpeed.h"

#include <cstdint>
#include <map>

namespace lovagecourse {

/// Identifies a request within one ServerModel; increases with each request sent.
using SendNumber = std::uint64_t;

/// Load that the other routers report for their requests at a server.
struct PeerLoad
{
    /// Prefill time of the requests sent whose prefill is not done, in ms at the usual speed.
    double backlogMs = 0;
    /// Longest time by which an answer is overdue, in ms.
    double overdueMs = 0;
    /// Requests sent that have not ended.
    unsigned running = 0;
};

/// Predicts the time to first byte of a further request at one server. Servers prefill prompts in
/// order of arrival, so the wait is the prefill time of the requests sent before. While an answer
/// is overdue the server counts as stalled, and the prefill of all unanswered requests as not done.
class ServerModel
{
public:
    /// Wait before the prefill of a further request starts, in ms. slots: requests that the server
    /// runs at once; 0 for no limit.
    double waitMs(const PrefillSpeed &speed, const PeerLoad &peers, unsigned slots,
                  TimePoint now) const;

    /// A request was sent; records the prediction for it.
    SendNumber onSent(const PrefillSpeed &speed, const PrefillWork &work, const PeerLoad &peers,
                      unsigned slots, TimePoint now);
    /// The first byte of the answer arrived. Trains the speed if isExact, which is false if the
    /// event loop delay distorted the measured time.
    void onFirstByte(PrefillSpeed &speed, SendNumber number, TimePoint now, bool isExact = true);
    /// Sets the current delay of this process's event loop, in ms.
    void setLoopDelay(double delayMs) { loopDelayMs_ = delayMs; }
    /// The request ended, with or without an answer.
    void onEnded(SendNumber number);
    /// The server reported its slowness: the duration of work relative to the usual one.
    void onReportedSlowness(double slowness, TimePoint reportedAt);
    /// A request failed or succeeded; updates failureRate().
    void onOutcome(bool failed);
    /// A connection broke or could not be opened: starts a backoff, each time twice as long.
    void onUnreachable(TimePoint now);
    /// The server answered: ends the backoff.
    void onReachable();
    /// The server restarted: resets backoff, residual slowness and failure rate.
    void onRestarted();

    /// Expected slowness: the last reported one, which decays to the server's mean with its age,
    /// times the residual slowness.
    double slowness(TimePoint now) const;
    TimePoint slownessReportedAt() const { return slownessReportedAt_; }
    double reportedSlowness() const { return reportedSlowness_; }
    bool isInBackoff(TimePoint now) const { return now < backoffUntil_; }
    /// Moving average of failed requests, from 0 to 1, over about the last 20.
    double failureRate() const { return failureRate_; }
    /// Prefill time of this router's requests whose prefill is not done, in ms at the usual speed.
    double backlogMs(TimePoint now) const;
    /// Time by which the oldest request in prefill exceeds its prediction and tolerance, in ms.
    double overdueMs(TimePoint now) const;
    /// This router's requests at the server that have not ended.
    unsigned running() const { return static_cast<unsigned>(sends_.size()); }

private:
    struct Send
    {
        TimePoint sentAt;
        PrefillWork work;
        /// Prefill time at the usual speed, in ms.
        double prefillMs = 0;
        double waitMs = 0;
        /// Time to first byte.
        double predictedMs = 0;
        double slowness = 1;
        /// The first byte of this or of a later request has arrived.
        bool isPrefillDone = false;
        bool isAnswered = false;
    };

    const Send *oldestInPrefill() const;

    std::map<SendNumber, Send> sends_;
    SendNumber lastNumber_ = 0;
    double reportedSlowness_ = 1;
    double meanSlowness_ = 1;
    TimePoint slownessReportedAt_;
    /// Factor on the reported slowness, learned from the answers.
    double residualSlowness_ = 1;
    double failureRate_ = 0;
    double loopDelayMs_ = 0;
    TimePoint backoffUntil_;
    milliseconds backoff_{0};
};

} // namespace lovagecourse
