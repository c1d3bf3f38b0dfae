#include "scheduling/ConcurrencyLimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace lovagecourse;

namespace {

/// Server whose latency is constant up to 20 requests in flight and proportional to them above.
struct ConcurrencyLimitFixture
{
    TimePoint now{std::chrono::hours(1)};
    double slowdown = 1;
    std::mt19937 random{5};

    static ConcurrencyLimitOptions options(ServiceKind kind)
    {
        ConcurrencyLimitOptions options;
        options.kind = kind;
        options.maxLimit = 32;
        return options;
    }

    std::chrono::nanoseconds latency(double base, int inFlight)
    {
        const double noise = 0.9 + static_cast<double>(random() % 200) / 1000;
        const double load = std::max(1.0, inFlight / 20.0);
        return std::chrono::nanoseconds(static_cast<long>(base * 1e6 * load * slowdown * noise));
    }

    void run(ConcurrencyLimit &limit, milliseconds duration)
    {
        for (const TimePoint end = now + duration; now < end; now += milliseconds(50)) {
            limit.onServiceTime(latency(20, limit.limit()));
            limit.onInterTokenLatency(latency(40, limit.limit()));
            limit.onFirstToken(latency(300, limit.limit()));
            limit.onTick(now, limit.limit(), true);
        }
    }
};

} // namespace

// Guards against a limit that does not fall when the server slows down, or does not recover within
// 5 s afterwards.
TEST_CASE_METHOD(ConcurrencyLimitFixture,
                 "concurrency limit, server slows down for 4 s, shrinks and recovers")
{
    const ServiceKind kind = GENERATE(ServiceKind::Model, ServiceKind::Plain);
    ConcurrencyLimit limit(options(kind));
    CHECK(limit.limit() == 16);
    run(limit, seconds(20));
    const int before = limit.limit();
    CHECK(before >= 20);
    slowdown = 5;
    run(limit, seconds(2));
    CHECK(limit.limit() < before);
    run(limit, seconds(2));
    CHECK(limit.limit() <= before * 3 / 4);
    slowdown = 1;
    run(limit, seconds(5));
    CHECK(limit.limit() >= before * 9 / 10);
}

// Guards against a limit that grows while no offers wait, or leaves its bounds.
TEST_CASE_METHOD(ConcurrencyLimitFixture, "concurrency limit, no work waits, keeps its limit")
{
    ConcurrencyLimit limit(options(ServiceKind::Model));
    for (int i = 0; i < 200; ++i) {
        limit.onInterTokenLatency(milliseconds(10));
        limit.onTick(now += milliseconds(50), 4, false);
    }
    CHECK(limit.limit() == 16);
    slowdown = 100;
    run(limit, seconds(30));
    CHECK(limit.limit() == 1);
    slowdown = 0.01;
    run(limit, seconds(60));
    CHECK(limit.limit() == 32);
}

// Guards against a limit that keeps falling while requests granted before the first decrease still
// run: it fell to 1 with 13 in flight, and short requests waited for them to end.
TEST_CASE_METHOD(ConcurrencyLimitFixture,
                 "concurrency limit, long requests above it still run, does not undershoot")
{
    ConcurrencyLimitOptions wide = options(ServiceKind::Model);
    wide.maxLimit = 64;
    ConcurrencyLimit limit(wide);
    std::vector<double> tokensLeft;
    int lowest = 64;
    for (int tick = 0; tick < 600; ++tick) {
        // Offers always wait. Each request has 100 tokens; above 8 requests, the inter-token
        // latency of 40 ms grows in proportion.
        while (static_cast<int>(tokensLeft.size()) < limit.limit() && tokensLeft.size() < 16)
            tokensLeft.push_back(100);
        const double interTokenMs = 40 * std::max(1., static_cast<double>(tokensLeft.size()) / 8);
        for (double &tokens : tokensLeft) {
            tokens -= 50 / interTokenMs;
            limit.onInterTokenLatency(
                    std::chrono::microseconds(static_cast<int>(1000 * interTokenMs)));
        }
        std::erase_if(tokensLeft, [](double tokens) { return tokens <= 0; });
        now += milliseconds(50);
        limit.onTick(now, static_cast<int>(tokensLeft.size()), true);
        lowest = std::min(lowest, limit.limit());
    }
    // 11 requests have an inter-token latency of 55 ms, within the target of 56 ms.
    CHECK(lowest >= 8);
    CHECK(limit.limit() >= 9);
    CHECK(limit.limit() <= 13);
}
