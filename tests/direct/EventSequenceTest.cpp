#include "direct/EventSequence.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct EventSequenceFixture
{
    EventSequence sequence;

    /// Adds events of the same answer; true if all belong to the stream.
    bool adds(std::string_view events) { return sequence.add(events) == events.size(); }

    /// Adds the first events of another server's answer.
    bool resumesWith(std::string_view events)
    {
        sequence.resume();
        return adds(events);
    }
};

} // namespace

// Guards against a resumed stream that begins at the wrong event.
TEST_CASE_METHOD(EventSequenceFixture, "event sequence, several events, keeps the last id")
{
    CHECK(adds("id: 7\ndata: id:9\n\nid: 8\ndata: x\n\n"));
    CHECK(sequence.lastId() == "8");
}

TEST_CASE_METHOD(EventSequenceFixture, "event sequence, events without ids, has no last id")
{
    CHECK(adds("data: x\n\n"));
    CHECK(adds(": comment\n\ndata: y\r\n\r\n"));
    CHECK(sequence.lastId().empty());
}

// Guards against sound events that are rejected.
TEST_CASE_METHOD(EventSequenceFixture, "event sequence, events of one server, belong to the stream")
{
    CHECK(adds("version: 3\nid: 1\ndata: a\n\n: still here\n\nid: 2\rdata: HTTP/1.1 500\r\r"));
    CHECK(adds("id: 5\r\ndata: a\r\n\r\n\n\n"));
    CHECK(adds("data: [DONE]\n\n"));
    CHECK(sequence.lastId() == "5");
}

// Guards against a piece that comes twice.
TEST_CASE_METHOD(EventSequenceFixture, "event sequence, id does not increase, ends before it")
{
    const std::string first = "id: 1\n\nid: 2\n\n";
    CHECK(sequence.add(first + "id: 2\n\nid: 3\n\n") == first.size());
    CHECK(sequence.lastId() == "2");
    CHECK_FALSE(adds("id: 1\n\n"));
    CHECK(adds("id: 10\n\n"));
}

// Guards against another server's answer that does not go on where the stream broke.
TEST_CASE_METHOD(EventSequenceFixture, "event sequence, resumed, goes on after the last id only")
{
    CHECK(adds("id: 1\n\nid: 2\n\n"));
    CHECK_FALSE(resumesWith("id: 1\n\n"));
    CHECK_FALSE(resumesWith("id: 2\n\n"));
    CHECK_FALSE(resumesWith("id: 4\n\n"));
    CHECK_FALSE(resumesWith("data: out of memory\n\n"));
    CHECK(resumesWith(": comment\n\nid: 3\n\ndata: x\n\n"));
    CHECK(sequence.lastId() == "3");
}

// Guards against streams with other ids than consecutive numbers that can't be resumed.
TEST_CASE_METHOD(EventSequenceFixture, "event sequence, ids of other kinds, resumes after them")
{
    SECTION("uneven steps")
    {
        CHECK(adds("id: 1\n\nid: 4\n\nid: 5\n\n"));
        CHECK(resumesWith("id: 9\n\n"));
    }
    SECTION("larger steps")
    {
        CHECK(adds("id: 10\n\nid: 20\n\n"));
        CHECK_FALSE(resumesWith("id: 21\n\n"));
        CHECK(resumesWith("id: 30\n\n"));
    }
    SECTION("one event so far")
    {
        CHECK(adds("id: 10\n\n"));
        CHECK(resumesWith("id: 20\n\n"));
    }
    SECTION("no numbers")
    {
        CHECK(adds("id: a\n\nid: b\n\n"));
        CHECK_FALSE(resumesWith("id: b\n\n"));
        CHECK(resumesWith("id: c\n\n"));
    }
}

// Guards against another answer that follows on the same connection.
TEST_CASE_METHOD(EventSequenceFixture, "event sequence, head of another answer, ends before it")
{
    const std::string first = "id: 1\ndata: a\n\n";
    CHECK(sequence.add(first + "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") == first.size());
    CHECK_FALSE(adds("HTTP/1.1 200 OK\r\nid: 2\r\n\r\n"));
}
