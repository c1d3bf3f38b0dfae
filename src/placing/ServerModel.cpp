#include "placing/ServerModel.h"

#include "placing/SlotServers.h"

#include <algorithm>
#include <cmath>

namespace lovagecourse {

namespace {

// An answer is overdue if it is later than predicted by more than this part of the predicted time
// plus overdueToleranceMs: then the delay has a cause that the model does not include.
constexpr double relativeOverdueTolerance = 0.3;
constexpr double overdueToleranceMs = 40;
// Only answers with a short predicted wait train the speed: errors in the prediction of a longer
// wait would exceed the effect of the speed.
constexpr double maxTrainingWaitMs = 60;
// Time constant; the load of other programs on a server's host changes within this time.
constexpr milliseconds slownessDecayTime{600};
// Weight of one reported slowness in the server's moving average.
constexpr double meanSlownessWeight = 0.05;
// Weight of one answer in the residual slowness, and the range of one answer's value.
constexpr double residualSlownessWeight = 0.15;
constexpr double minResidualSlowness = 0.8;
constexpr double maxResidualSlowness = 10;
// Weight of one request in failureRate().
constexpr double failureRateWeight = 0.05;
// A crashed server restarts within seconds, and a refused connection costs only the attempt.
constexpr milliseconds initialBackoff{250};
constexpr milliseconds maxBackoff{2000};

} // namespace

double ServerModel::slowness(TimePoint now) const
{
    if (slownessReportedAt_ == TimePoint())
        return residualSlowness_;
    const double age =
            toMs(now - slownessReportedAt_) / static_cast<double>(slownessDecayTime.count());
    const double reported = meanSlowness_ + (reportedSlowness_ - meanSlowness_) * std::exp(-age);
    return reported * residualSlowness_;
}

const ServerModel::Send *ServerModel::oldestInPrefill() const
{
    for (const auto &[number, send] : sends_) {
        if (!send.isPrefillDone)
            return &send;
    }
    return nullptr;
}

double ServerModel::overdueMs(TimePoint now) const
{
    const Send *oldest = oldestInPrefill();
    if (!oldest)
        return 0;
    // The event loop delay may have affected both the send and the receipt of the answer.
    const double allowed = (1 + relativeOverdueTolerance) * oldest->predictedMs + overdueToleranceMs
                           + 2 * loopDelayMs_;
    return std::max(0., toMs(now - oldest->sentAt) - allowed);
}

double ServerModel::backlogMs(TimePoint now) const
{
    const bool isStalled = overdueMs(now) > 0;
    double sum = 0;
    for (const auto &[number, send] : sends_) {
        if (send.isPrefillDone)
            continue;
        if (isStalled) {
            sum += send.prefillMs;
            continue;
        }
        // The prefill of a request starts after its predicted wait.
        const double remainingMs =
                send.waitMs + send.prefillMs * send.slowness - toMs(now - send.sentAt);
        sum += std::clamp(remainingMs / send.slowness, 0., send.prefillMs);
    }
    return sum;
}

double ServerModel::waitMs(const PrefillSpeed &speed, const PeerLoad &peers, unsigned slots,
                           TimePoint now) const
{
    const double factor = slowness(now);
    const double backlog = (backlogMs(now) + peers.backlogMs) * factor;
    const double overdue = std::max(overdueMs(now), peers.overdueMs);
    const SlotLoad load{speed.baseMs() * factor, running() + peers.running, slots};
    return backlog + overdue + slotWaitMs(load);
}

SendNumber ServerModel::onSent(const PrefillSpeed &speed, const PrefillWork &work,
                               const PeerLoad &peers, unsigned slots, TimePoint now)
{
    Send send;
    send.sentAt = now;
    send.work = work;
    send.slowness = slowness(now);
    send.prefillMs = speed.prefillMs(work);
    send.waitMs = waitMs(speed, peers, slots, now);
    send.predictedMs = send.waitMs + (speed.baseMs() + send.prefillMs) * send.slowness;
    sends_.emplace(++lastNumber_, send);
    return lastNumber_;
}

void ServerModel::onFirstByte(PrefillSpeed &speed, SendNumber number, TimePoint now, bool isExact)
{
    const auto found = sends_.find(number);
    if (found == sends_.end() || found->second.isAnswered)
        return;
    Send &send = found->second;
    const bool isOvertaken = send.isPrefillDone;
    send.isAnswered = true;
    send.isPrefillDone = true;
    // The prefill of earlier requests is done too, or will never be.
    for (auto earlier = sends_.begin(); earlier != found; ++earlier)
        earlier->second.isPrefillDone = true;
    // Work without prefill runs in parallel, so a longer request is overtaken and yet a sample of
    // the speed: without it, only the shortest work would count.
    if (!isExact || (isOvertaken && send.prefillMs > 0) || send.waitMs > maxTrainingWaitMs)
        return;
    const double serviceMs = std::max(0., toMs(now - send.sentAt) - send.waitMs);
    const double reported = send.slowness / residualSlowness_;
    speed.train(send.work, serviceMs / std::max(reported, 1e-3) / residualSlowness_);
    const double expected = (speed.baseMs() + speed.prefillMs(send.work)) * reported;
    const double ratio = std::clamp(serviceMs / std::max(expected, 1.), minResidualSlowness,
                                    maxResidualSlowness);
    residualSlowness_ *= std::pow(ratio / residualSlowness_, residualSlownessWeight);
}

void ServerModel::onEnded(SendNumber number)
{
    sends_.erase(number);
}

void ServerModel::onReportedSlowness(double slowness, TimePoint reportedAt)
{
    if (reportedAt <= slownessReportedAt_ || slowness <= 0)
        return;
    meanSlowness_ = slownessReportedAt_ == TimePoint()
                            ? slowness
                            : meanSlowness_ + meanSlownessWeight * (slowness - meanSlowness_);
    reportedSlowness_ = slowness;
    slownessReportedAt_ = reportedAt;
}

void ServerModel::onOutcome(bool failed)
{
    failureRate_ += failureRateWeight * ((failed ? 1. : 0.) - failureRate_);
}

void ServerModel::onUnreachable(TimePoint now)
{
    backoff_ = std::clamp(2 * backoff_, initialBackoff, maxBackoff);
    backoffUntil_ = now + backoff_;
}

void ServerModel::onReachable()
{
    backoff_ = milliseconds(0);
    backoffUntil_ = TimePoint();
}

void ServerModel::onRestarted()
{
    onReachable();
    residualSlowness_ = 1;
    failureRate_ = 0;
}

} // namespace lovagecourse
