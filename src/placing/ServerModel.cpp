#include "placing/ServerModel.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// Answers later than this are late for a reason that the prediction does not know.
constexpr double overdueShare = 0.3;
constexpr double overdueSlackMs = 40;
// Only answers with a short wait teach the speed; errors of longer waits would hide it.
constexpr double maxTeachingWaitMs = 60;
// Other programs on a server's host come and go within this time.
constexpr milliseconds slownessMemory{600};
// Weight of one told slowness in the server's mean.
constexpr double meanWeight = 0.05;
// Weight of one answer in the slowness that a server does not tell, and its range.
constexpr double hiddenWeight = 0.15;
constexpr double minHidden = 0.8;
constexpr double maxHidden = 10;
// Weight of one outcome in failureShare().
constexpr double outcomeWeight = 0.05;
// A crashed server is back after some seconds; refused connections cost nothing but the try.
constexpr milliseconds firstAvoidance{250};
constexpr milliseconds longestAvoidance{2000};

} // namespace

double ServerModel::slowness(TimePoint now) const
{
    if (slownessTold_ == TimePoint())
        return hiddenSlowness_;
    const double age = toMs(now - slownessTold_) / static_cast<double>(slownessMemory.count());
    const double told = meanSlowness_ + (toldSlowness_ - meanSlowness_) * std::exp(-age);
    return told * hiddenSlowness_;
}

const ServerModel::Send *ServerModel::oldestWaiting() const
{
    for (const auto &[number, send] : sends_) {
        if (!send.begun)
            return &send;
    }
    return nullptr;
}

double ServerModel::overdueMs(TimePoint now) const
{
    const Send *oldest = oldestWaiting();
    if (!oldest)
        return 0;
    // This process may have been late with the send and with reading the answer.
    const double allowed =
            (1 + overdueShare) * oldest->predictedMs + overdueSlackMs + 2 * ownDelayMs_;
    return std::max(0., toMs(now - oldest->sentAt) - allowed);
}

double ServerModel::backlogMs(TimePoint now) const
{
    const bool stalls = overdueMs(now) > 0;
    double sum = 0;
    for (const auto &[number, send] : sends_) {
        if (send.begun)
            continue;
        if (stalls) {
            sum += send.readMs;
            continue;
        }
        // A prompt is read in the last part of its predicted wait.
        const double left = send.waitMs + send.readMs * send.slowness - toMs(now - send.sentAt);
        sum += std::clamp(left / send.slowness, 0., send.readMs);
    }
    return sum;
}

double ServerModel::waitMs(const ReadingSpeed &speed, const PeerLoad &peers, unsigned slots,
                           TimePoint now) const
{
    const double slow = slowness(now);
    const double reading = (backlogMs(now) + peers.backlogMs) * slow;
    const double overdue = std::max(overdueMs(now), peers.overdueMs);
    double queueing = 0;
    const unsigned running = this->running() + peers.running;
    if (slots > 0 && running >= slots)
        queueing = speed.baseMs() * slow * (running - slots + 1) / slots;
    return reading + overdue + queueing;
}

SendNumber ServerModel::onSent(const ReadingSpeed &speed, const PromptWork &work,
                               const PeerLoad &peers, unsigned slots, TimePoint now)
{
    Send send;
    send.sentAt = now;
    send.work = work;
    send.slowness = slowness(now);
    send.readMs = speed.readMs(work);
    send.waitMs = waitMs(speed, peers, slots, now);
    send.predictedMs = send.waitMs + (speed.baseMs() + send.readMs) * send.slowness;
    sends_.emplace(++lastNumber_, send);
    return lastNumber_;
}

void ServerModel::onFirstByte(ReadingSpeed &speed, SendNumber number, TimePoint now, bool isExact)
{
    const auto found = sends_.find(number);
    if (found == sends_.end() || found->second.begun)
        return;
    Send &send = found->second;
    send.begun = true;
    // What was sent before has been read, too, or never will be.
    for (auto earlier = sends_.begin(); earlier != found; ++earlier)
        earlier->second.begun = true;
    if (!isExact || send.waitMs > maxTeachingWaitMs)
        return;
    const double ownMs = std::max(0., toMs(now - send.sentAt) - send.waitMs);
    const double told = send.slowness / hiddenSlowness_;
    speed.learn(send.work, ownMs / std::max(told, 1e-3) / hiddenSlowness_);
    const double expected = (speed.baseMs() + speed.readMs(send.work)) * told;
    const double ratio = std::clamp(ownMs / std::max(expected, 1.), minHidden, maxHidden);
    hiddenSlowness_ *= std::pow(ratio / hiddenSlowness_, hiddenWeight);
}

void ServerModel::onEnded(SendNumber number)
{
    sends_.erase(number);
}

void ServerModel::onSlowness(double slowness, TimePoint told)
{
    if (told <= slownessTold_ || slowness <= 0)
        return;
    meanSlowness_ = slownessTold_ == TimePoint()
                            ? slowness
                            : meanSlowness_ + meanWeight * (slowness - meanSlowness_);
    toldSlowness_ = slowness;
    slownessTold_ = told;
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

void ServerModel::onRestarted()
{
    onReachable();
    hiddenSlowness_ = 1;
    failureShare_ = 0;
}

} // namespace lovagecourse
