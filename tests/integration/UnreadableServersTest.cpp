#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

using namespace lovagecourse::test;
using namespace std::chrono_literals;

namespace {

/// Number of times that the text occurs in the log.
std::size_t linesOf(const std::string &log, const std::string &text)
{
    std::size_t lines = 0;
    for (std::size_t at = log.find(text); at != std::string::npos; at = log.find(text, at + 1))
        ++lines;
    return lines;
}

} // namespace

// Guards against a flood of small records that costs a log line each, and delays all else.
TEST_CASE("unreadable servers, many in one read, are counted and logged as one line")
{
    constexpr int records = 3000;
    RouterHost host(maxMemoryMb, answerOk);
    REQUIRE(host.servesRequest());
    host.kill();
    for (int i = 0; i < records; ++i)
        host.writeServerRecord("foreign-" + std::to_string(10000 + i), "x");
    host.start();
    // Once in the full read and once in the history.
    const auto faults = [&] { return host.metric("lovagecourse_server_entry_faults_total"); };
    CHECK(waitUntil(30s, [&] { return faults() >= 2 * records; }));
    CHECK(faults() == 2 * records);
    // The log is buffered.
    CHECK(host.servesRequest());
    CHECK(waitUntil(30s, [&] { return linesOf(host.log(), "event=server-unreadable") >= 2; }));
    const std::string log = host.log();
    CHECK(linesOf(log, "event=server-unreadable") == 2);
    CHECK(linesOf(log, "event=server-unreadable count=3000 server=foreign-10000 field=document")
          == 2);
}
