#include "direct/DirectRouterFixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace lovagecourse;
using test::CallerAnswer;
using test::DirectRouterFixture;
using test::headerValue;
using test::ScriptedServer;

namespace {

struct HeadCase
{
    std::string name;
    /// Lines after the stamp.
    std::string lines;
    std::string statusLine = "HTTP/1.1 200 OK\r\n";
};

std::string withLength(const std::string &lines)
{
    return lines + "Content-Length: 2\r\n";
}

std::string headOf(const HeadCase &head, const std::string &request)
{
    return head.statusLine
           + "X-Lovagecourse-Attempt-Id: " + headerValue(request, "x-lovagecourse-attempt-id")
           + "\r\nX-Lovagecourse-Server-Stamp: st\r\n" + head.lines + "\r\n";
}

struct FaultyHeadFixture : DirectRouterFixture
{
    /// Runs the loop until the router has closed so many connections, or too long.
    void waitUntilClosed(const ScriptedServer &server, int count)
    {
        const TimePoint limit = clock.now() + seconds(2);
        while (server.closedByPeer() < count && clock.now() < limit)
            runFor(milliseconds(5));
    }
};

std::string withBareLineFeeds(std::string text)
{
    std::erase(text, '\r');
    return text;
}

} // namespace

// Guards against an answer whose head another parser reads differently, and that reaches the caller
// with the server's stamp or leaves bytes for the next request of its connection.
TEST_CASE_METHOD(FaultyHeadFixture, "faulty head, caller gets 502 and connection is closed")
{
    const std::string nul(1, '\0');
    const HeadCase head = GENERATE_COPY(values<HeadCase>({
            {"NUL in a value", withLength("X-A: b" + nul + "c\r\n")},
            {"NUL in a name", withLength("X-" + nul + "A: b\r\n")},
            {"NUL in the status line", withLength(""), "HTTP/1.1 200 O" + nul + "K\r\n"},
            {"bare LF in a value", withLength("X-A: b\nX-B: c\r\n")},
            {"bare CR in a value", withLength("X-A: b\rX-B: c\r\n")},
            {"folded line", withLength("X-A: b\r\n c\r\n")},
            {"folded line with a colon", withLength("X-A: b\r\n\tX-B: c\r\n")},
            {"line without a colon", withLength("X-A b\r\n")},
            {"status line among headers", withLength("HTTP/1.1 503 Busy\r\n")},
            {"space before the colon", withLength("X-A : b\r\n")},
            {"empty name", withLength(": b\r\n")},
            {"repeated length", withLength("Content-Length: 3\r\n")},
            {"list of lengths", "Content-Length: 2, 3\r\n"},
            {"list of lengths with an empty element", "Content-Length: 2,\r\n"},
            {"length with a sign", "Content-Length: +2\r\n"},
            {"length without a value", "Content-Length:\r\n"},
            {"length beyond 64 bits", "Content-Length: 18446744073709551618\r\n"},
            {"length and chunks", withLength("Transfer-Encoding: chunked\r\n")},
            {"two codings", "Transfer-Encoding: gzip, chunked\r\n"},
            {"chunks in HTTP/1.0", "Transfer-Encoding: chunked\r\n", "HTTP/1.0 200 OK\r\n"},
            {"chunks without a body", "Transfer-Encoding: chunked\r\n", "HTTP/1.1 204 None\r\n"},
            {"interim head with a length", withLength(""),
             "HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\n"},
            {"upgrade", withLength(""), "HTTP/1.1 101 Switching\r\n"},
            {"status below 100", withLength(""), "HTTP/1.1 099 Low\r\n"},
            {"status 000", withLength(""), "HTTP/1.1 000 None\r\n"},
            {"status 000 without a length", "", "HTTP/1.1 000 None\r\n"},
            {"status 600", withLength(""), "HTTP/1.1 600 High\r\n"},
            {"status of four digits", withLength(""), "HTTP/1.1 2000 OK\r\n"},
            {"other version", withLength(""), "HTTP/2 200 OK\r\n"},
            {"no status line", withLength(""), "X-A: b\r\n"},
            {"200 KB of headers", withLength("X-A: " + std::string(200 << 10, 'a') + "\r\n")},
    }));
    CAPTURE(head.name);
    // The body reads as two bytes, as three, and as chunks.
    ScriptedServer &server = addServer([&](auto &connection, const std::string &request) {
        connection.send(headOf(head, request) + "0\r\n\r\n");
    });
    const CallerAnswer got = call("POST", "/unsafe/x", {}, "b");
    CHECK(got.status == 502);
    CHECK(findHeader(got.headers, "x-lovagecourse-server-stamp").empty());
    waitUntilClosed(server, 1);
    CHECK(server.closedByPeer() == 1);
    CHECK(server.requests().size() == 1);
    // A server that answers has not crashed.
    CHECK(reportedCrashes.empty());
}

// Guards against complete answers that are lost because of an unusual head, and against a second
// request on a connection whose head stricter parsers reject.
TEST_CASE_METHOD(FaultyHeadFixture, "unusual head, caller gets its answer")
{
    const auto [head, isReused] = GENERATE(table<HeadCase, bool>({
            {{"empty value", withLength("X-Empty:\r\nX-Blank: \t\r\n")}, true},
            {{"no reason", withLength(""), "HTTP/1.1 200\r\n"}, true},
            {{"bytes beyond ASCII", withLength("X-A: \xc3\xa9\r\n")}, true},
            {{"equal lengths", withLength("Content-Length: 2\r\n")}, false},
            {{"list of equal lengths", "Content-Length: 2, 2\r\n"}, false},
            {{"only bare LF", withLength("X-A: b\r\n")}, false},
    }));
    CAPTURE(head.name);
    const bool isBare = head.name == "only bare LF";
    ScriptedServer &server = addServer([&, &head = head](auto &connection, const auto &request) {
        const std::string bytes = headOf(head, request);
        connection.send((isBare ? withBareLineFeeds(bytes) : bytes) + "ok");
    });
    for (int i = 0; i < 2; ++i) {
        const CallerAnswer got = call("POST", "/unsafe/x", {}, "b");
        CHECK(got.isComplete);
        CHECK(got.status == 200);
        CHECK(got.body == "ok");
        CHECK(findHeader(got.headers, "x-lovagecourse-server-stamp") == "st");
    }
    if (!isReused)
        waitUntilClosed(server, 2);
    runFor(milliseconds(20));
    CHECK(server.closedByPeer() == (isReused ? 0 : 2));
}

// Guards against an answer with 40 KB of headers that ends in a closed connection.
TEST_CASE_METHOD(FaultyHeadFixture, "head of 40 KB, caller gets its answer or 502")
{
    addServer([](auto &connection, const std::string &request) {
        std::string lines;
        for (int i = 0; i < 40; ++i)
            lines += "X-A" + std::to_string(i) + ": " + std::string(1015, 'a') + "\r\n";
        connection.send(headOf({"", withLength(lines)}, request) + "ok");
    });
    const CallerAnswer got = call("POST", "/unsafe/x", {}, "b");
    CHECK(got.isComplete);
    const bool isWhole = got.status == 200 && got.body == "ok";
    const bool isStamped = !findHeader(got.headers, "x-lovagecourse-server-stamp").empty();
    CHECK((isWhole || got.status == 502));
    CHECK(isStamped == isWhole);
}
