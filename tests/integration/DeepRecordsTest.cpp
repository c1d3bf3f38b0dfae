#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

#include <deque>
#include <thread>

using namespace lovagecourse::test;
using namespace std::chrono_literals;

namespace {

// Of one record of the platform's store.
constexpr std::size_t maxRecordBytes = 262144;
constexpr std::size_t recordOverheadBytes = 1024;
// Time after a restart in which a quarter of the requests must be served again.
constexpr std::chrono::seconds recoveryLimit{12};

std::string repeat(const std::string &text, std::size_t count)
{
    std::string repeated;
    repeated.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        repeated += text;
    return repeated;
}

constexpr std::size_t depthFor(std::size_t bytesPerLevel)
{
    return (maxRecordBytes - recordOverheadBytes) / bytesPerLevel;
}

std::string deepList()
{
    return repeat("[", depthFor(2)) + repeat("]", depthFor(2));
}

std::string deepObject()
{
    return repeat(R"({"a":)", depthFor(6)) + '1' + repeat("}", depthFor(6));
}

struct DeepRecordsFixture
{
    RouterHost host{maxMemoryMb, answerOk};

    void writeDeepRecords()
    {
        const std::vector<std::string> values{
                host.serverEntry(R"(,"note":)" + deepList()),
                host.serverEntry(R"(,"prior":)" + deepObject()),
                host.serverEntry(R"(,"service":)" + deepList()),
                host.serverEntry(R"(,"address":)" + deepObject()),
                deepList(),
                repeat("[", 2 * depthFor(2)),
        };
        for (std::size_t i = 0; i < 10 * values.size(); ++i)
            host.writeServerRecord("deep-" + std::to_string(i), values[i % values.size()]);
    }

    /// Opens connections with a request each, 500 a second or fewer, until one of them is answered.
    void sendCallersUntilServed()
    {
        constexpr std::size_t maxCallers = 400;
        std::deque<LoopbackConnection> callers;
        const auto end = std::chrono::steady_clock::now() + recoveryLimit;
        RawMessage answer;
        while (answer.status() != 200 && std::chrono::steady_clock::now() < end) {
            callers.emplace_back(host.callers());
            callers.back().send(requestHead("/plain/ordinary") + "Content-Length: 0\r\n\r\n");
            std::this_thread::sleep_for(2ms);
            if (callers.size() < maxCallers)
                continue;
            answer = {};
            readMessage(callers.front(), answer, 1ms);
            callers.pop_front();
        }
    }
};

} // namespace

// Guards against a router that is not ready for many seconds after a restart, because it builds
// what other writers have nested in records of the store while callers wait.
TEST_CASE_METHOD(DeepRecordsFixture,
                 "deep records, restart beside callers, is ready within the recovery limit")
{
    writeDeepRecords();
    host.kill();
    host.start();
    sendCallersUntilServed();
    CHECK(waitUntil(recoveryLimit, [&] { return host.isReady(); }));
    CHECK(host.log().find("event=rotation-paused") == std::string::npos);
    CHECK(host.servesRequest());
}

// Guards against memory that grows with the depth of a record instead of its size.
TEST_CASE("deep records, read after a restart, take no more memory than flat ones")
{
    const auto peakMemoryMb = [](const std::string &value) {
        RouterHost host(maxMemoryMb, answerOk);
        for (int i = 0; i < 6; ++i)
            host.writeServerRecord("foreign-" + std::to_string(i),
                                   host.serverEntry(R"(,"note":)" + value));
        host.kill();
        host.start();
        REQUIRE(waitUntil(recoveryLimit, [&] { return host.isReady() && host.servesRequest(); }));
        return host.process().peakMemoryMb();
    };
    const double flat = peakMemoryMb('"' + std::string(2 * depthFor(2), 'x') + '"');
    CHECK(peakMemoryMb(deepList()) < flat + 4);
    CHECK(peakMemoryMb(deepObject()) < flat + 4);
}
