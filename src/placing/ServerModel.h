#pragma once

#include "core/Clock.h"
#include "placing/ReadingSpeed.h"

#include <cstdint>
#include <map>

namespace lovagecourse {

/// One request that was sent to a server.
using SendNumber = std::uint64_t;

/// What other daemons report of their requests at a server.
struct PeerLoad
{
    /// Time to read what was sent and is not read yet, in ms at the usual speed.
    double backlogMs = 0;
    /// Longest time by which an answer is later than predicted, in ms.
    double overdueMs = 0;
    unsigned running = 0;
};

/// Predicts when one server would begin to answer one more request. Engines read prompts in order
/// of arrival, so the wait is the reading time of what was sent before. Answers that are late show
/// that the server stalls: then nothing sent counts as read.
class ServerModel
{
public:
    /// Wait before an added request's own prompt is read, in ms.
    double waitMs(const ReadingSpeed &speed, const PeerLoad &peers, unsigned slots,
                  TimePoint now) const;

    SendNumber onSent(const ReadingSpeed &speed, const PromptWork &work, const PeerLoad &peers,
                      unsigned slots, TimePoint now);
    /// The answer began; teaches the speed if isExact.
    void onFirstByte(ReadingSpeed &speed, SendNumber number, TimePoint now, bool isExact = true);
    /// Events of this process wait for so long now, in ms.
    void setOwnDelay(double delayMs) { ownDelayMs_ = delayMs; }
    /// The request ended; also when its answer never began.
    void onEnded(SendNumber number);
    /// The server told how slow it is, relative to the usual speed.
    void onSlowness(double slowness, TimePoint told);
    /// The server failed or answered well; drives failureShare().
    void onOutcome(bool failed);
    /// The connection broke or could not be made: leaves the server alone for a growing time.
    void onUnreachable(TimePoint now);
    /// The server answered, so it can be reached.
    void onReachable();
    /// The server restarted and knows nothing of before.
    void onRestarted();

    /// Expected slowness now: what was told last, and the server's mean the more time has passed.
    double slowness(TimePoint now) const;
    TimePoint slownessTold() const { return slownessTold_; }
    double toldSlowness() const { return toldSlowness_; }
    bool isAvoided(TimePoint now) const { return now < avoidedUntil_; }
    /// Share of failed requests, over about the last 20.
    double failureShare() const { return failureShare_; }
    /// What this daemon sent and the server has not read, in ms at the usual speed.
    double backlogMs(TimePoint now) const;
    /// Time by which the oldest answer is later than predicted, in ms.
    double overdueMs(TimePoint now) const;
    unsigned running() const { return static_cast<unsigned>(sends_.size()); }

private:
    struct Send
    {
        TimePoint sentAt;
        PromptWork work;
        /// At the usual speed.
        double readMs = 0;
        double waitMs = 0;
        double predictedMs = 0;
        double slowness = 1;
        bool begun = false;
    };

    const Send *oldestWaiting() const;

    std::map<SendNumber, Send> sends_;
    SendNumber lastNumber_ = 0;
    double toldSlowness_ = 1;
    double meanSlowness_ = 1;
    TimePoint slownessTold_;
    /// Slowness beyond what the server tells.
    double hiddenSlowness_ = 1;
    double failureShare_ = 0;
    double ownDelayMs_ = 0;
    TimePoint avoidedUntil_;
    milliseconds avoidance_{0};
};

} // namespace lovagecourse
