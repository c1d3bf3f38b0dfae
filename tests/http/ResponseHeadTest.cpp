#include "http/ResponseHead.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lovagecourse;

// Guards against heads of many short lines, each of which takes many times its length in memory.
TEST_CASE("response head, many short lines, is too long")
{
    constexpr std::size_t mostMemory = 128U << 10;
    ResponseHead head;
    REQUIRE_FALSE(head.addLine("HTTP/1.1 200 OK\r\n"));
    std::size_t lines = 0;
    std::optional<ResponseHeadFault> fault;
    while (!fault && lines < 100000) {
        fault = head.addLine("a:b\r\n");
        ++lines;
    }
    CHECK(fault == ResponseHeadFault::TooLong);
    CHECK(lines * sizeof(HeaderList::value_type) <= mostMemory);
}

// Guards against interim heads and trailers of many lines, which libcurl keeps as well.
TEST_CASE("response head, lines before and after the final head, count as well")
{
    const bool areTrailers = GENERATE(true, false);
    ResponseHead head;
    std::size_t lines = 0;
    std::optional<ResponseHeadFault> fault;
    if (areTrailers) {
        REQUIRE_FALSE(head.addLine("HTTP/1.1 200 OK\r\n"));
        REQUIRE_FALSE(head.addLine("\r\n"));
    }
    while (!fault && lines < 100000) {
        fault = areTrailers ? head.addLine("a:b\r\n") : head.addLine("HTTP/1.1 100 Continue\r\n");
        if (!fault && !areTrailers)
            fault = head.addLine("\r\n");
        ++lines;
    }
    CHECK(fault == ResponseHeadFault::TooLong);
    CHECK(lines <= 2048);
}

TEST_CASE("response head, a hundred lines of usual length, is accepted")
{
    ResponseHead head;
    REQUIRE_FALSE(head.addLine("HTTP/1.1 200 OK\r\n"));
    for (int i = 0; i < 100; ++i)
        REQUIRE_FALSE(head.addLine("x-header-" + std::to_string(i) + ": " + std::string(200, 'v')
                                   + "\r\n"));
    CHECK_FALSE(head.addLine("\r\n"));
    CHECK(head.headers().size() == 100);
}
