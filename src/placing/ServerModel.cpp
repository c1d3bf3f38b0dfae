#include "placing/ServerModel.h"

#include <algorithm>
#include <cassert>

namespace lovagecourse {

namespace {

// Step of the speed's correction per answer: half of the way takes about 5 answers.
constexpr double learningStep = 0.15;
// Scale of tokens in the correction: a usual chunk of prompt reading.
constexpr double tokenScale = 4096;
constexpr double minBaseMs = 1;
constexpr double maxBaseMs = 5000;
constexpr double minMsPerToken = 0.0005;
constexpr double maxMsPerToken = 1;
// An error of a prediction counts at most this much, so that one lost packet isn't a slow server.
constexpr double maxErrorMs = 1500;
// Predictions are off by a factor of 2 in normal operation; later than that, the server stalls.
constexpr double overdueFactor = 2;
constexpr double overdueSlackMs = 100;
// Weight of one outcome in failureShare().
constexpr double outcomeWeight = 0.05;
// A crashed server is back after some seconds; refused connections cost nothing but the try.
constexpr milliseconds firstAvoidance{250};
constexpr milliseconds longestAvoidance{2000};

double toMs(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

ServerModel::ServerModel(ServerSpeed initial)
    : speed_(initial)
{}

double ServerModel::backlogTokens(TimePoint now) const
{
    // The server reads the daemons' prompts in turn, each at its part of the speed.
    const double total = backlogTokens_ + peerBacklogTokens_;
    if (total <= 0)
        return 0;
    const double read = toMs(now - drainedAt_) / speed_.msPerToken * (backlogTokens_ / total);
    return std::max(0., backlogTokens_ - read);
}

void ServerModel::drain(TimePoint now)
{
    backlogTokens_ = backlogTokens(now);
    drainedAt_ = now;
}

double ServerModel::overdueMs(TimePoint now) const
{
    for (const auto &[number, send] : sends_) {
        if (send.begun)
            continue;
        const double late =
                toMs(now - send.sentAt) - overdueFactor * send.predictedMs - overdueSlackMs;
        return std::max(0., late);
    }
    return 0;
}

double ServerModel::waitMs(const PeerLoad &peers, unsigned slots, TimePoint now) const
{
    const double reading = (backlogTokens(now) + peers.backlogTokens) * speed_.msPerToken;
    double queueing = 0;
    const unsigned running = this->running() + peers.running;
    if (slots > 0 && running >= slots)
        queueing = speed_.baseMs * (running - slots + 1) / slots;
    return reading + queueing + overdueMs(now);
}

double ServerModel::firstByteMs(double unreadTokens, const PeerLoad &peers, unsigned slots,
                                TimePoint now) const
{
    return waitMs(peers, slots, now) + speed_.baseMs + unreadTokens * speed_.msPerToken;
}

SendNumber ServerModel::onSent(double unreadTokens, const PeerLoad &peers, unsigned slots,
                               TimePoint now)
{
    Send send;
    send.sentAt = now;
    send.unreadTokens = unreadTokens;
    send.predictedMs = firstByteMs(unreadTokens, peers, slots, now);
    drain(now);
    peerBacklogTokens_ = peers.backlogTokens;
    send.tokensAhead = backlogTokens_ + peers.backlogTokens + unreadTokens;
    backlogTokens_ += unreadTokens;
    sends_.emplace(++lastNumber_, send);
    return lastNumber_;
}

void ServerModel::learn(const Send &send, double tookMs)
{
    const double tokens = send.tokensAhead / tokenScale;
    const double predicted = speed_.baseMs + send.tokensAhead * speed_.msPerToken;
    const double error = std::clamp(tookMs - predicted, -maxErrorMs, maxErrorMs);
    const double step = learningStep * error / (1 + tokens * tokens);
    speed_.baseMs = std::clamp(speed_.baseMs + step, minBaseMs, maxBaseMs);
    speed_.msPerToken = std::clamp(speed_.msPerToken + step * tokens / tokenScale, minMsPerToken,
                                   maxMsPerToken);
}

void ServerModel::onFirstByte(SendNumber number, TimePoint now)
{
    const auto found = sends_.find(number);
    if (found == sends_.end() || found->second.begun)
        return;
    drain(now);
    learn(found->second, toMs(now - found->second.sentAt));
    found->second.begun = true;
    // Everything sent before this request has been read, too.
    double sentLater = 0;
    for (auto later = std::next(found); later != sends_.end(); ++later) {
        if (!later->second.begun)
            sentLater += later->second.unreadTokens;
    }
    backlogTokens_ = std::min(backlogTokens_, sentLater);
}

void ServerModel::onEnded(SendNumber number, TimePoint now)
{
    const auto found = sends_.find(number);
    if (found == sends_.end())
        return;
    drain(now);
    if (!found->second.begun)
        backlogTokens_ = std::max(0., backlogTokens_ - found->second.unreadTokens);
    sends_.erase(found);
}

void ServerModel::onOutcome(bool failed)
{
    failureShare_ += outcomeWeight * ((failed ? 1. : 0.) - failureShare_);
}

void ServerModel::onUnreachable(TimePoint now)
{
    avoidance_ = std::clamp(2 * avoidance_, firstAvoidance, longestAvoidance);
    avoidedUntil_ = now + avoidance_;
}

void ServerModel::onReachable()
{
    avoidance_ = milliseconds(0);
    avoidedUntil_ = TimePoint();
}

} // namespace lovagecourse
