#pragma once

#include "core/Clock.h"

#include <ev.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace lovagecourse {

/// Order of the events that are handled in one iteration of the loop.
enum class EventPriority : std::int8_t {
    /// After all others.
    Low = -1,
    Normal = 0,
    /// Before callers' input, for what the process must know in time.
    High = 1
};

/// Single-threaded event loop on libev.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the current callbacks.
    void stop();
    /// Upper bound of the time that the current event waited for this process: the callbacks of the
    /// previous iteration plus those of this one so far. 0 before the first iteration.
    std::chrono::nanoseconds delay() const;
    /// Part of the time since the last call that was spent in callbacks, from 0 to 1.
    double takeBusyShare();
    /// Part of the time before the last call of takeBusyShare() that was spent in callbacks of high
    /// priority; contained in the busy share.
    double highPriorityShare() const { return highPriorityShare_; }
    /// Collects events for up to this long before they are handled together. Saves the cost of
    /// iterations in a busy process, at the price of a later start of each event; 0 for none.
    void setCollectInterval(std::chrono::nanoseconds interval);
    /// Native libev handle, for code with its own watchers.
    struct ev_loop *handle() const { return loop_; }

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    static void onBeforeWait(struct ev_loop *loop, ev_prepare *watcher, int events);
    static void onAfterWait(struct ev_loop *loop, ev_check *watcher, int events);
    static void onAfterHighPriority(struct ev_loop *loop, ev_check *watcher, int events);

    struct ev_loop *loop_;
    ev_prepare beforeWait_{};
    ev_check afterWait_{};
    ev_check afterHighPriority_{};
    /// Start of the callbacks of the current iteration.
    SteadyTime wokenAt_;
    /// Time that the callbacks of the previous iteration took.
    std::chrono::nanoseconds lastIteration_{0};
    /// Time spent in callbacks since busySince_, without the current iteration.
    std::chrono::nanoseconds busy_{0};
    SteadyTime busySince_;
    std::chrono::nanoseconds highPriority_{0};
    double highPriorityShare_ = 0;
};

/// One-shot or repeating timer; stops when destroyed.
class Timer
{
public:
    using Callback = std::function<void()>;

    Timer(EventLoop &loop, Callback callback, EventPriority priority = EventPriority::Normal);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Fires once after the delay; restarts a running timer.
    void startOnce(std::chrono::nanoseconds delay);
    /// Fires at each interval, the first time after one interval; restarts a running timer.
    void startRepeating(std::chrono::nanoseconds interval);
    void stop();
    bool isActive() const;

private:
    static void onEvent(struct ev_loop *loop, ev_timer *watcher, int events);

    EventLoop &loop_;
    Callback callback_;
    ev_timer watcher_{};
};

/// Reports when a descriptor, which it does not own, is readable or writable; stops when destroyed.
class IoWatcher
{
public:
    using Callback = std::function<void(int events)>;

    IoWatcher(EventLoop &loop, int descriptor, Callback callback,
              EventPriority priority = EventPriority::Normal);
    ~IoWatcher();
    IoWatcher(const IoWatcher &) = delete;
    IoWatcher &operator=(const IoWatcher &) = delete;

    /// Sets the watched events, a combination of EV_READ and EV_WRITE; 0 stops watching.
    void watch(int events);

private:
    static void onEvent(struct ev_loop *loop, ev_io *watcher, int events);

    EventLoop &loop_;
    Callback callback_;
    ev_io watcher_{};
    int descriptor_;
};

/// Calls back when the process receives a signal; stops when destroyed.
class SignalWatcher
{
public:
    using Callback = std::function<void()>;

    SignalWatcher(EventLoop &loop, int signalNumber, Callback callback);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher &) = delete;
    SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
    static void onEvent(struct ev_loop *loop, ev_signal *watcher, int events);

    EventLoop &loop_;
    Callback callback_;
    ev_signal watcher_{};
};

} // namespace lovagecourse
