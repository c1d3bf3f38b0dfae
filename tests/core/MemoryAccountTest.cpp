#include "core/MemoryAccount.h"
#include "core/SharedBody.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace lovagecourse;

namespace {

constexpr std::size_t largeBytes = 600U << 10;
constexpr MemoryLimits limits{1U << 20, 256U << 10};

} // namespace

// Guards against reservations that are released twice or never.
TEST_CASE("memory account, moved reservation, is released once")
{
    MemoryAccount account(limits);
    {
        MemoryReservation first(&account, MemoryHolder::RequestBodies);
        REQUIRE(first.growTo(largeBytes) == ReserveResult::Reserved);
        MemoryReservation second(std::move(first));
        second.moveTo(MemoryHolder::UnreadAnswers);
        CHECK(account.used() == largeBytes);
        CHECK(account.used(MemoryHolder::RequestBodies) == 0);
        CHECK(account.used(MemoryHolder::UnreadAnswers) == largeBytes);
        second = MemoryReservation();
        CHECK(account.used() == 0);
    }
    CHECK(account.used() == 0);
    CHECK(account.highWaterMark() == largeBytes);
}

// Guards against large bodies that keep small requests out.
TEST_CASE("memory account, full of large bodies, has room for small requests")
{
    MemoryAccount account(limits);
    MemoryReservation large(&account, MemoryHolder::RequestBodies);
    REQUIRE(large.growTo(limits.totalBytes - limits.smallReserveBytes) == ReserveResult::Reserved);
    MemoryReservation another(&account, MemoryHolder::RequestBodies);
    CHECK(another.growTo(maxSmallReservation + 1) == ReserveResult::Full);
    CHECK(another.bytes() == 0);
    CHECK(another.growTo(maxSmallReservation) == ReserveResult::Reserved);
}

// Guards against a body that is counted once per attempt, or released while an attempt uses it.
TEST_CASE("shared body, several copies, holds its memory until the last one ends")
{
    MemoryAccount account(limits);
    MemoryReservation memory(&account, MemoryHolder::RequestBodies);
    REQUIRE(memory.growTo(5) == ReserveResult::Reserved);
    SharedBody first(std::string("hello"), std::move(memory));
    SharedBody second = first;
    first = SharedBody();
    CHECK(second == "hello");
    CHECK(account.used() == 5);
    second = SharedBody();
    CHECK(account.used() == 0);
}

// Guards against limits that leave no room for one body of 4 MiB on the smallest hosts.
TEST_CASE("memory limits, smallest settings, hold one large body")
{
    for (const unsigned megabytes : {64U, 120U, 512U}) {
        MemoryAccount account(memoryLimits(megabytes));
        CHECK(account.fits(4U << 20, 4U << 20));
    }
}

// Guards against an agent that drops an answer that does not make enough room, or more than one
// that does, and against an overflow by an announced length.
TEST_CASE("memory account, reservation does not fit, tells the missing bytes")
{
    MemoryAccount account(MemoryLimits{1U << 20, 256U << 10});
    MemoryReservation memory(&account, MemoryHolder::RequestBodies);
    memory.resize(700U << 10);
    CHECK(account.missingBytes(maxSmallReservation, maxSmallReservation) == 0);
    CHECK(account.missingBytes(100U << 10, 68U << 10) == 0);
    CHECK(account.missingBytes(100U << 10, 100U << 10) == 32U << 10);
    memory.resize(800U << 10);
    CHECK(account.missingBytes(100U << 10, 0) == 32U << 10);
    CHECK(account.missingBytes(100U << 10, 100U << 10) == 132U << 10);
    constexpr std::size_t huge = std::numeric_limits<std::size_t>::max();
    CHECK(account.missingBytes(huge, huge) == huge);
    CHECK_FALSE(account.fits(huge, huge));
}
