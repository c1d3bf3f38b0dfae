#include "wire/ReplayWindow.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct ReplayWindowFixture
{
    ManualClock clock;
    ReplayWindow window;

    std::optional<WireFault> check(std::uint64_t incarnation, std::uint64_t sequence)
    {
        const DatagramHeader header{DaemonId("a"), Incarnation(incarnation), sequence,
                                    toEpochMilliseconds(clock.wallNow())};
        return window.check(header, clock.wallNow());
    }
};

} // namespace

// Guards against applying a repeated datagram twice and against dropping a reordered one.
TEST_CASE_METHOD(ReplayWindowFixture, "replay window, reordered and repeated, drops only repeated")
{
    CHECK_FALSE(check(1, 5));
    CHECK_FALSE(check(1, 3));
    CHECK(check(1, 5) == WireFault::Replayed);
    CHECK(check(1, 3) == WireFault::Replayed);
    CHECK_FALSE(check(1, 200));
    CHECK(check(1, 100) == WireFault::Replayed);
}

// Guards against datagrams from an earlier incarnation of a daemon, which arrive after its restart.
TEST_CASE_METHOD(ReplayWindowFixture, "replay window, older incarnation, is dropped")
{
    CHECK_FALSE(check(2, 1));
    CHECK(check(1, 9) == WireFault::Replayed);
    CHECK_FALSE(check(3, 1));
}

// Guards against recorded datagrams that are replayed later.
TEST_CASE_METHOD(ReplayWindowFixture, "replay window, older than 30 s, is dropped")
{
    const DatagramHeader header{DaemonId("a"), Incarnation(1), 1,
                                toEpochMilliseconds(clock.wallNow())};
    clock.advance(seconds(31));
    CHECK(window.check(header, clock.wallNow()) == WireFault::TooOld);
}
