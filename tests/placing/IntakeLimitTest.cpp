#include "placing/IntakeLimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <limits>

using namespace lovagecourse;

namespace {

constexpr milliseconds interval{50};

/// Simulates a process that can forward 60 streams at once and gets 200 callers a second, each with
/// a stream of 1.5 s. Each stream above the capacity adds 4 ms to the event loop delay.
struct SmallHostFixture
{
    static constexpr std::size_t capacity = 60;
    static constexpr std::size_t callersPerInterval = 10;
    static constexpr milliseconds streamTime{1500};

    IntakeLimit limit{0.09};
    TimePoint now{std::chrono::hours(1)};
    std::deque<TimePoint> ends;
    std::size_t allowed = callersPerInterval;
    double loopDelayMs = 0;

    void play(milliseconds time, std::size_t callers = callersPerInterval)
    {
        for (const TimePoint end = now + time; now < end; now += interval) {
            while (!ends.empty() && ends.front() <= now)
                ends.pop_front();
            const std::size_t taken = std::min(callers, allowed);
            ends.insert(ends.end(), taken, now + streamTime);
            loopDelayMs =
                    ends.size() > capacity ? 4. * static_cast<double>(ends.size() - capacity) : 0;
            const double busyShare =
                    std::min(1., static_cast<double>(ends.size()) / static_cast<double>(capacity));
            allowed = limit.onInterval(
                    ProcessLoad{loopDelayMs, busyShare, 50 + loopDelayMs, taken, ends.size()}, now);
        }
    }
};

} // namespace

// Guards against a router on a small host that accepts every caller, so that all of them wait for
// seconds.
TEST_CASE_METHOD(SmallHostFixture,
                 "intake limit, five times the load, event loop delay stays short")
{
    play(seconds(4));
    double longestDelayMs = 0;
    for (int i = 0; i < 100; ++i) {
        play(interval);
        longestDelayMs = std::max(longestDelayMs, loopDelayMs);
    }
    CHECK(longestDelayMs < 300);
    CHECK(ends.size() > capacity / 2);
}

// Guards against a limit that does not grow again after an overload.
TEST_CASE_METHOD(SmallHostFixture, "intake limit, usual load again, accepts all callers")
{
    play(seconds(4));
    play(seconds(4), 1);
    CHECK(allowed > 1);
    CHECK(loopDelayMs == 0);
}

// Guards against a router that accepts no connection while the platform considers it ready.
TEST_CASE("intake limit, long event loop delay, still accepts some connections")
{
    IntakeLimit limit{0.09};
    TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 100; ++i, now += interval)
        CHECK(limit.onInterval(ProcessLoad{500, 1, 550, 100, 1000}, now) >= 1);
}

// Guards against a limit on a host whose event loop is not overloaded.
TEST_CASE("intake limit, short event loop delay, does not limit")
{
    IntakeLimit limit{0.09};
    limit.onInterval(ProcessLoad{50, 1, 100, 100, 3000}, TimePoint(std::chrono::hours(1)));
    CHECK_FALSE(limit.isLimited());
}

// Guards against a limit that stays after an overload, with which each answer ends its connection.
TEST_CASE_METHOD(SmallHostFixture, "intake limit, light load after an overload, is lifted")
{
    limit.onInterval(ProcessLoad{400, 1, 450, 100, 200}, now);
    REQUIRE(limit.isLimited());
    play(seconds(90), 1);
    CHECK_FALSE(limit.isLimited());
}

// Guards against a process that takes its own suspension for an overload when it resumes.
TEST_CASE("intake limit, process was suspended, does not limit")
{
    IntakeLimit limit{0.09};
    limit.onInterval(ProcessLoad{4000, 0.01, 4050, 3, 20}, TimePoint(std::chrono::hours(1)));
    CHECK_FALSE(limit.isLimited());
}

// Guards against a limit that stays for tens of seconds after a pause of the process: the pause
// fell into a callback, so that it counts as busy, and the work that has waited makes the loop late
// again.
TEST_CASE("intake limit, process was suspended while busy, is lifted soon")
{
    IntakeLimit limit{0.09};
    TimePoint now{std::chrono::hours(1)};
    for (int pause = 0; pause < 2; ++pause) {
        limit.onInterval(ProcessLoad{4000, 1, 4050, 3, 20}, now);
        now += milliseconds(350);
        limit.onInterval(ProcessLoad{300, 1, 350, 60, 60}, now);
        REQUIRE(limit.isLimited());
        for (const TimePoint end = now + milliseconds(1500); now < end; now += interval)
            limit.onInterval(ProcessLoad{5, 0.6, 55, 8, 12}, now);
        CHECK_FALSE(limit.isLimited());
        now += seconds(20);
    }
}

// Guards against a limit that is lifted again and again while the process is overloaded.
TEST_CASE("intake limit, late again after the limit was lifted, stays limited")
{
    IntakeLimit limit{0.09};
    TimePoint now{std::chrono::hours(1)};
    for (int burst = 0; burst < 3; ++burst) {
        limit.onInterval(ProcessLoad{300, 1, 350, 60, 60}, now);
        for (const TimePoint end = now + seconds(2); now < end; now += interval)
            limit.onInterval(ProcessLoad{5, 0.6, 55, 8, 12}, now);
    }
    CHECK(limit.isLimited());
}

// Guards against a burst of callers on a slow host that is accepted at once, so that the event loop
// is late by seconds before the limit can react.
TEST_CASE("intake limit, hosts of different speed, accept what they can handle at once")
{
    IntakeLimit slow{0.09};
    IntakeLimit fast{0.5};
    CHECK(slow.acceptsAtOnce() < fast.acceptsAtOnce());
    TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 300; ++i, now += interval) {
        slow.onInterval(ProcessLoad{0, 0.8, 50, 8, 20}, now);
        fast.onInterval(ProcessLoad{0, 0.8, 50, 40, 200}, now);
    }
    CHECK(slow.requestCostMs() == Approx(5).epsilon(0.01));
    CHECK(slow.acceptsAtOnce() == 12);
    CHECK(fast.requestCostMs() == Approx(1).epsilon(0.01));
    CHECK(fast.acceptsAtOnce() >= 59);
}

// Guards against a cost that is learned while most of the time goes into other work.
TEST_CASE("intake limit, few requests or light load, learns no cost")
{
    IntakeLimit limit{0.09};
    const double initial = limit.requestCostMs();
    TimePoint now{std::chrono::hours(1)};
    for (int i = 0; i < 100; ++i, now += interval)
        limit.onInterval(ProcessLoad{0, 0.3, 50, 5, 20}, now);
    CHECK(limit.requestCostMs() == initial);
    for (int i = 0; i < 100; ++i, now += interval)
        limit.onInterval(ProcessLoad{0, 0.9, 50, i % 10 == 0 ? 1U : 0U, 20}, now);
    CHECK(limit.requestCostMs() == initial);
}

namespace {

/// Host whose busy time is a fixed part of the time and a cost for each request, as fitted on a day
/// of Hedegaard. More requests than fit are not received, and then the event loop is 40 ms late.
struct FittedHost
{
    double fixedShare;
    double costMs;
    IntakeLimit limit;
    TimePoint now{std::chrono::hours(1)};

    void play(seconds time, double requestsPerSecond)
    {
        const double mostPerSecond = 1000 * (1 - fixedShare) / costMs;
        const bool isFull = requestsPerSecond >= mostPerSecond;
        const double perSecond = std::min(requestsPerSecond, mostPerSecond);
        double due = 0;
        for (const TimePoint end = now + time; now < end; now += interval) {
            due += perSecond * 0.05;
            const auto received = static_cast<std::size_t>(due);
            due -= static_cast<double>(received);
            const double busy = std::min(1., fixedShare + perSecond * costMs / 1000);
            limit.onInterval(ProcessLoad{isFull ? 40. : 5., busy, 50, received, received}, now);
        }
    }
};

} // namespace

// Guards against small hosts that take their own fixed work for a cost of requests: they then close
// connections for which they have time.
TEST_CASE("intake limit, fitted hosts, learn the cost of a further request")
{
    const auto [cores, fixedShare, costMs] = GENERATE(table<double, double, double>(
            {{0.5, 0.043, 1.24}, {0.22, 0.05, 3.16}, {0.068, 0.15, 8.85}}));
    FittedHost host{fixedShare, costMs, IntakeLimit(cores)};
    const double moderate = 1000 * (0.45 - fixedShare) / costMs;
    host.play(seconds(8), 0.02 * moderate);
    // The usual load, then one account's clients at ten times it, light load and the usual load.
    for (const double factor : {1., 10., 0.02, 1.}) {
        host.play(seconds(8), factor * moderate);
        CHECK(host.limit.requestCostMs() == Approx(costMs).epsilon(0.1));
    }
    CHECK(host.limit.acceptsAtOnce() >= static_cast<std::size_t>(0.85 * (60 - 5) / costMs));
}

// Guards against a cost that becomes absurd by intervals that are no measurement, and against a
// fixed part that a router without a quiet second has guessed.
TEST_CASE("intake limit, no valid quiet second, learns the cost without fixed work")
{
    FittedHost host{0.15, 8.85, IntakeLimit(0.068)};
    const double nan = std::numeric_limits<double>::quiet_NaN();
    const double infinity = std::numeric_limits<double>::infinity();
    for (const double bad : {nan, infinity, -infinity, -1., 1e300}) {
        host.limit.onInterval(ProcessLoad{0, bad, 50, 0, 0}, host.now);
        host.limit.onInterval(ProcessLoad{0, 0.1, bad, 0, 0}, host.now);
    }
    host.play(seconds(8), 34);
    CHECK(host.limit.requestCostMs() == Approx(1000 * (0.15 + 34 * 0.00885) / 34).epsilon(0.1));
}
