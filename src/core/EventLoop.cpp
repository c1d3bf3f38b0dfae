#include "core/EventLoop.h"

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
    afterWait_.data = this;
    ev_check_start(loop_, &afterWait_);
    // Neither keeps the loop running when nothing else does.
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
    if (self.woke_ != WallTime())
        self.lastTurn_ = std::chrono::steady_clock::now() - self.woke_;
}

void EventLoop::onAfterWait(struct ev_loop *, ev_check *watcher, int)
{
    static_cast<EventLoop *>(watcher->data)->woke_ = std::chrono::steady_clock::now();
}

std::chrono::nanoseconds EventLoop::delay() const
{
    if (woke_ == WallTime())
        return std::chrono::nanoseconds(0);
    return lastTurn_ + (std::chrono::steady_clock::now() - woke_);
}

void EventLoop::run()
{
    ev_run(loop_, 0);
}

void EventLoop::stop()
{
    ev_break(loop_, EVBREAK_ALL);
}

Timer::Timer(EventLoop &loop, Callback callback)
    : loop_(loop)
    , callback_(std::move(callback))
{
    ev_timer_init(&watcher_, &Timer::onEvent, 0., 0.);
    watcher_.data = this;
}

Timer::~Timer()
{
    stop();
}

void Timer::startOnce(std::chrono::nanoseconds delay)
{
    stop();
    // The loop's cached time may lag behind after a long callback; the delay counts from now.
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
    // The callback may destroy its timer, so it runs from a copy.
    const Callback callback = static_cast<Timer *>(watcher->data)->callback_;
    callback();
}

IoWatcher::IoWatcher(EventLoop &loop, int descriptor, Callback callback)
    : loop_(loop)
    , callback_(std::move(callback))
    , descriptor_(descriptor)
{
    ev_io_init(&watcher_, &IoWatcher::onEvent, descriptor, 0);
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
    // The callback may destroy its watcher, so it runs from a copy.
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
