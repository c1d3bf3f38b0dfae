#include "core/EventLoop.h"

#include <algorithm>
#include <utility>

namespace lovagecourse {

namespace {

double toSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

EventLoop::EventLoop()
    : loop_(ev_loop_new(EVFLAG_AUTO))
{
    ev_prepare_init(&beforeWait_, &EventLoop::onBeforeWait);
    beforeWait_.data = this;
    ev_prepare_start(loop_, &beforeWait_);
    ev_check_init(&afterWait_, &EventLoop::onAfterWait);
    // Before callbacks of every priority, so that the time of all of them is measured.
    ev_set_priority(&afterWait_, EV_MAXPRI);
    afterWait_.data = this;
    ev_check_start(loop_, &afterWait_);
    // The loop must not keep running only because of these two watchers.
    ev_unref(loop_);
    ev_unref(loop_);
}

EventLoop::~EventLoop()
{
    ev_ref(loop_);
    ev_ref(loop_);
    ev_prepare_stop(loop_, &beforeWait_);
    ev_check_stop(loop_, &afterWait_);
    ev_loop_destroy(loop_);
}

void EventLoop::onBeforeWait(struct ev_loop *, ev_prepare *watcher, int)
{
    auto &self = *static_cast<EventLoop *>(watcher->data);
    if (self.wokenAt_ == SteadyTime())
        return;
    const SteadyTime now = std::chrono::steady_clock::now();
    self.lastIteration_ = now - self.wokenAt_;
    self.busy_ += now - std::max(self.wokenAt_, self.busySince_);
}

void EventLoop::onAfterWait(struct ev_loop *, ev_check *watcher, int)
{
    static_cast<EventLoop *>(watcher->data)->wokenAt_ = std::chrono::steady_clock::now();
}

std::chrono::nanoseconds EventLoop::delay() const
{
    if (wokenAt_ == SteadyTime())
        return std::chrono::nanoseconds(0);
    return lastIteration_ + (std::chrono::steady_clock::now() - wokenAt_);
}

double EventLoop::takeBusyShare()
{
    const SteadyTime now = std::chrono::steady_clock::now();
    const SteadyTime since = std::exchange(busySince_, now);
    // The callback that calls this is part of the current iteration.
    if (wokenAt_ != SteadyTime())
        busy_ += now - std::max(wokenAt_, since);
    const auto busy = std::exchange(busy_, std::chrono::nanoseconds(0));
    if (since == SteadyTime() || now <= since)
        return 0;
    return std::clamp(toSeconds(busy) / toSeconds(now - since), 0., 1.);
}

void EventLoop::setCollectInterval(std::chrono::nanoseconds interval)
{
    ev_set_io_collect_interval(loop_, toSeconds(interval));
}

void EventLoop::run()
{
    ev_run(loop_, 0);
}

void EventLoop::stop()
{
    ev_break(loop_, EVBREAK_ALL);
}

Timer::Timer(EventLoop &loop, Callback callback, EventPriority priority)
    : loop_(loop)
    , callback_(std::move(callback))
{
    ev_timer_init(&watcher_, &Timer::onEvent, 0., 0.);
    ev_set_priority(&watcher_, static_cast<int>(priority));
    watcher_.data = this;
}

Timer::~Timer()
{
    stop();
}

void Timer::startOnce(std::chrono::nanoseconds delay)
{
    stop();
    // The loop's cached time is stale after a long callback; the delay starts now.
    ev_now_update(loop_.handle());
    ev_timer_set(&watcher_, toSeconds(delay), 0.);
    ev_timer_start(loop_.handle(), &watcher_);
}

void Timer::startRepeating(std::chrono::nanoseconds interval)
{
    stop();
    ev_now_update(loop_.handle());
    ev_timer_set(&watcher_, toSeconds(interval), toSeconds(interval));
    ev_timer_start(loop_.handle(), &watcher_);
}

void Timer::stop()
{
    ev_timer_stop(loop_.handle(), &watcher_);
}

bool Timer::isActive() const
{
    return ev_is_active(&watcher_);
}

void Timer::onEvent(struct ev_loop *, ev_timer *watcher, int)
{
    // Copied, because the callback may destroy this timer.
    const Callback callback = static_cast<Timer *>(watcher->data)->callback_;
    callback();
}

IoWatcher::IoWatcher(EventLoop &loop, int descriptor, Callback callback, EventPriority priority)
    : loop_(loop)
    , callback_(std::move(callback))
    , descriptor_(descriptor)
{
    ev_io_init(&watcher_, &IoWatcher::onEvent, descriptor, 0);
    ev_set_priority(&watcher_, static_cast<int>(priority));
    watcher_.data = this;
}

IoWatcher::~IoWatcher()
{
    ev_io_stop(loop_.handle(), &watcher_);
}

void IoWatcher::watch(int events)
{
    ev_io_stop(loop_.handle(), &watcher_);
    if (events == 0)
        return;
    ev_io_set(&watcher_, descriptor_, events);
    ev_io_start(loop_.handle(), &watcher_);
}

void IoWatcher::onEvent(struct ev_loop *, ev_io *watcher, int events)
{
    // Copied, because the callback may destroy this watcher.
    const Callback callback = static_cast<IoWatcher *>(watcher->data)->callback_;
    callback(events);
}

SignalWatcher::SignalWatcher(EventLoop &loop, int signalNumber, Callback callback)
    : loop_(loop)
    , callback_(std::move(callback))
{
    ev_signal_init(&watcher_, &SignalWatcher::onEvent, signalNumber);
    watcher_.data = this;
    ev_signal_start(loop_.handle(), &watcher_);
}

SignalWatcher::~SignalWatcher()
{
    ev_signal_stop(loop_.handle(), &watcher_);
}

void SignalWatcher::onEvent(struct ev_loop *, ev_signal *watcher, int)
{
    static_cast<SignalWatcher *>(watcher->data)->callback_();
}

} // namespace lovagecourse
