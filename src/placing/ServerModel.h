#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <deque>
#include <map>

namespace lovagecourse {

/// One request that was sent and whose answer has not begun.
using SendNumber = std::uint64_t;

/// Speed of a server as learned from the answers to this daemon's requests.
struct ServerSpeed
{
    /// Time to the first byte of an answer without a prompt to read, in ms.
    double baseMs = 0;
    /// Time to read one token of a prompt, in ms.
    double msPerToken = 0;
};

/// Work of the other daemons at a server, as they reported it.
struct PeerLoad
{
    /// Prompt tokens sent and not yet read.
    double backlogTokens = 0;
    unsigned running = 0;
};

/// Predicts when one server would begin to answer one more request. Engines read prompts in
/// order of arrival, so the wait is the unread tokens before it times the reading time, and
/// answers that have begun show how far reading has come.
class ServerModel
{
public:
    explicit ServerModel(ServerSpeed initial);

    /// Wait before an added request's own prompt is read, in ms.
    double waitMs(const PeerLoad &peers, unsigned slots, TimePoint now) const;
    /// Time to the first byte of the answer for this many unread tokens, in ms.
    double firstByteMs(double unreadTokens, const PeerLoad &peers, unsigned slots,
                       TimePoint now) const;

    SendNumber onSent(double unreadTokens, const PeerLoad &peers, unsigned slots, TimePoint now);
    /// The answer began; corrects speed and backlog.
    void onFirstByte(SendNumber number, TimePoint now);
    /// The request ended; also when its answer never began.
    void onEnded(SendNumber number, TimePoint now);
    /// The server failed or answered well; drives failureShare().
    void onOutcome(bool failed);
    /// The connection broke or could not be made: leaves the server alone for a growing time.
    void onUnreachable(TimePoint now);
    /// The server answered, so it can be reached.
    void onReachable();

    bool isAvoided(TimePoint now) const { return now < avoidedUntil_; }
    /// Share of failed requests, over about the last 20.
    double failureShare() const { return failureShare_; }
    /// Tokens of this daemon's requests that the server has not read.
    double backlogTokens(TimePoint now) const;
    unsigned running() const { return static_cast<unsigned>(sends_.size()); }
    const ServerSpeed &speed() const { return speed_; }

private:
    struct Send
    {
        TimePoint sentAt;
        double unreadTokens = 0;
        /// Tokens to read up to and with this request, of all daemons.
        double tokensAhead = 0;
        double predictedMs = 0;
        bool begun = false;
    };

    double overdueMs(TimePoint now) const;
    void learn(const Send &send, double tookMs);
    void drain(TimePoint now);

    ServerSpeed speed_;
    std::map<SendNumber, Send> sends_;
    SendNumber lastNumber_ = 0;
    double backlogTokens_ = 0;
    double peerBacklogTokens_ = 0;
    TimePoint drainedAt_;
    double failureShare_ = 0;
    TimePoint avoidedUntil_;
    milliseconds avoidance_{0};
};

} // namespace lovagecourse
