#include "placing/EvacuationReads.h"

#include "store/Positions.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;
using test::at;
using test::inEra;

namespace {

using Outcome = EvacuationReads::Outcome;

struct EvacuationReadsFixture
{
    ManualClock clock;
    EvacuationReads reads;
    const DataCentreId a{"a"};
    const DataCentreId b{"b"};

    bool readAll(std::set<DataCentreId> dataCentres, std::uint64_t next)
    {
        clock.advance(seconds(1));
        return reads.onFullRead(std::move(dataCentres), at(next), clock.now(), clock.now());
    }
    bool readRecord(const DataCentreId &dataCentre, bool isEvacuated, std::uint64_t next)
    {
        clock.advance(seconds(1));
        return reads.onRecords({{dataCentre, isEvacuated}}, at(next), clock.now());
    }
    Outcome tell(std::uint64_t history, std::uint64_t next, std::set<DataCentreId> dataCentres)
    {
        clock.advance(seconds(1));
        return reads.onTold({{history, LogOffset(next)}, std::move(dataCentres)}, clock.now());
    }
    std::set<DataCentreId> evacuated() const { return reads.newest().dataCentres; }
};

} // namespace

// Guards against a router that can't reach the store and keeps sending to an evacuated data centre,
// and against one that applies its own late records over a newer set.
TEST_CASE_METHOD(EvacuationReadsFixture, "evacuation reads, told while the store is away, applies")
{
    readAll({}, 10);
    CHECK_FALSE(reads.hasEvacuations());
    CHECK(tell(0, 20, {a}) == Outcome::Newer);
    CHECK(evacuated() == std::set{a});
    CHECK(reads.hasEvacuations());
    // Evacuated at 12, returned at 15, evacuated again at 20: the read continues behind the set.
    CHECK_FALSE(readRecord(a, true, 12));
    CHECK_FALSE(readRecord(a, false, 15));
    CHECK(evacuated() == std::set{a});
    CHECK(readRecord(a, true, 20));
    CHECK(readRecord(a, false, 21));
    CHECK(evacuated().empty());
    CHECK(reads.hasEvacuations());
}

// Guards against a late or repeated message that brings back an earlier state, and against a state
// that depends on messages that were lost.
TEST_CASE_METHOD(EvacuationReadsFixture, "evacuation reads, lost and reordered sets, newest counts")
{
    readAll({}, 10);
    CHECK(tell(0, 13, {a}) == Outcome::Newer);
    CHECK(tell(0, 12, {}) == Outcome::Outdated);
    CHECK(tell(0, 13, {}) == Outcome::Outdated);
    // The sets at 14 and 15 were lost.
    CHECK(tell(0, 16, {b}) == Outcome::Newer);
    CHECK(tell(0, 15, {}) == Outcome::Outdated);
    CHECK(evacuated() == std::set{b});
    CHECK(tell(0, 17, {DataCentreId("")}) == Outcome::Newer);
    CHECK(evacuated().empty());
}

// Guards against a router that keeps the state of a lost history because its offsets are higher,
// and against a late message of that history.
TEST_CASE_METHOD(EvacuationReadsFixture, "evacuation reads, store loses its history, newest counts")
{
    readAll({a}, 100);
    CHECK(readAll({b}, 3));
    CHECK(evacuated() == std::set{b});
    CHECK(reads.newest().position == HistoryPosition{1, LogOffset(3)});
    CHECK(tell(0, 101, {a}) == Outcome::Outdated);
    CHECK(tell(1, 4, {}) == Outcome::Newer);
    CHECK(evacuated().empty());
    CHECK_FALSE(readAll({a}, 5));
    CHECK(evacuated() == std::set{a});
    // All records are lost.
    CHECK(readAll({}, 0));
    CHECK(evacuated().empty());
}

// Guards against a router that was told of the loss of history and goes on with its set of the
// earlier one, and against two losses counted where two routers have seen the same one.
TEST_CASE_METHOD(EvacuationReadsFixture, "evacuation reads, told of a lost history, reads anew")
{
    readAll({a}, 100);
    CHECK(tell(1, 3, {b}) == Outcome::NewerHistory);
    // A read of the earlier history that was in progress.
    CHECK_FALSE(readRecord(a, true, 101));
    CHECK(evacuated() == std::set{b});
    CHECK_FALSE(readAll({}, 4));
    CHECK(reads.newest().position == HistoryPosition{1, LogOffset(4)});
    CHECK(evacuated().empty());
}

// Guards against a starting router whose first read is overtaken by a message and is taken for a
// loss of history, or for a newer state.
TEST_CASE_METHOD(EvacuationReadsFixture,
                 "evacuation reads, told during the first read, newest counts")
{
    const TimePoint startedAt = clock.now();
    CHECK(tell(0, 20, {a}) == Outcome::Newer);
    CHECK_FALSE(reads.onFullRead({}, at(15), startedAt, clock.now()));
    CHECK(evacuated() == std::set{a});
    CHECK_FALSE(readRecord(a, true, 18));
    CHECK(readRecord(a, false, 21));
    CHECK(evacuated().empty());
}

// Guards against a counter of histories that starts again at 0.
TEST_CASE_METHOD(EvacuationReadsFixture, "evacuation reads, largest history, stays the largest")
{
    constexpr std::uint64_t largest = UINT64_MAX;
    CHECK(tell(largest, 20, {a}) == Outcome::NewerHistory);
    CHECK(readAll({}, 3));
    CHECK(tell(0, 30, {a}) == Outcome::Outdated);
}

// Guards against a set from before the store's return that counts as newer because its offset is
// higher, and against one era that routers count twice.
TEST_CASE_METHOD(EvacuationReadsFixture, "evacuation reads, store names its eras, later era counts")
{
    const auto readInEra = [&](std::uint64_t era, std::uint64_t next,
                               std::set<DataCentreId> dataCentres) {
        clock.advance(seconds(1));
        return reads.onFullRead(std::move(dataCentres), inEra(era, next), clock.now(), clock.now());
    };
    CHECK_FALSE(readInEra(4, 20, {a}));
    CHECK(reads.newest().position == HistoryPosition{4, LogOffset(20)});
    CHECK_FALSE(readInEra(5, 3, {b}));
    CHECK(reads.newest().position == HistoryPosition{5, LogOffset(3)});
    CHECK(tell(4, 30, {}) == Outcome::Outdated);
    CHECK(tell(5, 4, {}) == Outcome::Newer);
    // A store that counts its eras anew, behind what is known.
    CHECK(readInEra(1, 2, {a}));
    CHECK(reads.newest().position == HistoryPosition{6, LogOffset(2)});
    CHECK(evacuated() == std::set{a});
}

// Guards against requests to an evacuated data centre whose record the store has lost, and against
// an evacuation that does not end because it has lost the end's record.
TEST_CASE_METHOD(EvacuationReadsFixture,
                 "evacuation reads, older copy lacks an evacuation, is kept until written again")
{
    const auto readCopy = [&](std::uint64_t era, std::uint64_t next,
                              std::set<DataCentreId> dataCentres) {
        reads.onOlderCopy(clock.now());
        reads.onFullRead(std::move(dataCentres), inEra(era, next), clock.now(), clock.now());
    };
    reads.onFullRead({a, b}, inEra(4, 20), clock.now(), clock.now());
    readCopy(5, 3, {b});
    CHECK(evacuated() == std::set{a, b});
    SECTION("it is written again")
    {
        reads.onRecords({{a, true}}, inEra(5, 4), clock.now());
        clock.advance(EvacuationReads::rewriteTime);
        CHECK_FALSE(reads.expire(clock.now()));
        CHECK(evacuated() == std::set{a, b});
    }
    SECTION("it is ended by a record")
    {
        reads.onRecords({{a, false}}, inEra(5, 4), clock.now());
        CHECK(evacuated() == std::set{b});
    }
    SECTION("it is not written again")
    {
        CHECK_FALSE(reads.expire(clock.now()));
        clock.advance(EvacuationReads::rewriteTime);
        CHECK(reads.expire(clock.now()));
        CHECK(evacuated() == std::set{b});
        reads.onRecords({}, inEra(5, 4), clock.now());
        CHECK(evacuated() == std::set{b});
    }
    SECTION("the store returns twice")
    {
        clock.advance(milliseconds(1500));
        readCopy(6, 2, {});
        CHECK(evacuated() == std::set{a, b});
        clock.advance(EvacuationReads::rewriteTime);
        CHECK(reads.expire(clock.now()));
        CHECK(evacuated().empty());
    }
}
