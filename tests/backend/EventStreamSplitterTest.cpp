#include "backend/EventStreamSplitter.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct EventStreamSplitterFixture
{
    EventStreamSplitter splitter;
};

} // namespace

// Guards against events that wait in the router because of their line ends, at any split of reads.
TEST_CASE_METHOD(EventStreamSplitterFixture,
                 "event stream splitter, any line ends, finds each event")
{
    const std::string end = GENERATE("\n", "\r\n", "\r");
    const std::string event = "id: 1" + end + "data: a" + end + end;
    const std::string bytes = event + event + "id: 2" + end;
    for (std::size_t split = 0; split <= bytes.size(); ++split) {
        EventStreamSplitter parts;
        CompleteEvents first = parts.append(std::string_view(bytes).substr(0, split));
        const CompleteEvents second = parts.append(std::string_view(bytes).substr(split));
        CHECK(first.bytes + second.bytes == event + event);
        CHECK(first.count + second.count == 2);
        CHECK(parts.rest() == "id: 2" + end);
        CHECK(parts.isInsideEvent());
    }
}

// Guards against line breaks after the last event that make a whole stream look broken.
TEST_CASE_METHOD(EventStreamSplitterFixture,
                 "event stream splitter, line break after an event, is not inside one")
{
    splitter.append("data: a\n\n\n");
    CHECK(splitter.rest() == "\n");
    CHECK_FALSE(splitter.isInsideEvent());
    splitter.append("d");
    CHECK(splitter.isInsideEvent());
}
