#include "core/BoundedWriter.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <array>

using namespace lovagecourse;

namespace {

struct BoundedWriterFixture
{
    std::array<int, 2> ends{};
    TimePoint now{std::chrono::hours(1)};

    BoundedWriterFixture() { REQUIRE(pipe(ends.data()) == 0); }
    ~BoundedWriterFixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    std::string readAll() const
    {
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 4096> buffer{};
        ssize_t count = 0;
        while ((count = read(ends[0], buffer.data(), buffer.size())) > 0)
            text.append(buffer.data(), static_cast<std::size_t>(count));
        return text;
    }
};

} // namespace

// Guards against a process that blocks because the reader of its log stopped reading.
TEST_CASE_METHOD(BoundedWriterFixture, "bounded writer, reader stops, drops lines without blocking")
{
    BoundedWriter writer(ends[1]);
    const std::string line(1000, 'x');
    for (int i = 0; i < 2000; ++i) {
        now += milliseconds(1);
        writer.writeLine(line, now);
        writer.flush();
    }
    CHECK(writer.takeDropped() > 1000);
    CHECK(writer.takeDropped() == 0);
}

// Guards against a log volume that grows with the load without bound.
TEST_CASE_METHOD(BoundedWriterFixture, "bounded writer, too many lines, bounds their rate")
{
    BoundedWriter writer(ends[1]);
    int taken = 0;
    for (int i = 0; i < 20000; ++i)
        taken += writer.writeLine("l", now) ? 1 : 0;
    CHECK(taken <= 2400);
    now += seconds(1);
    CHECK(writer.writeLine("l", now));
}

// Guards against truncated, interleaved or reordered lines.
TEST_CASE_METHOD(BoundedWriterFixture,
                 "bounded writer, reader reads, receives complete lines in order")
{
    BoundedWriter writer(ends[1]);
    writer.writeLine("one", now);
    writer.writeLine("two", now);
    writer.flush();
    CHECK(readAll() == "one\ntwo\n");
}
