#include "gateway/HttpGateway.h"
#include "http/HttpClient.h"

#include <catch2/catch.hpp>
#include <unistd.h>

#include <memory>
#include <vector>

using namespace lovagecourse;

namespace {

constexpr std::size_t limitBytes = 8U << 20;
constexpr int callerCount = 100;

/// A gateway that leaves all requests open.
struct CallerHeadFixture
{
    EventLoop loop;
    Metrics metrics;
    MemoryAccount memory{MemoryLimits{limitBytes, limitBytes / 4}};
    HttpClient client{loop};
    std::unique_ptr<HttpGateway> gateway;
    Endpoint endpoint;
    std::vector<CallerRequest> received;
    int refused = 0;

    CallerHeadFixture()
    {
        HttpGateway::Handlers handlers;
        handlers.onRequest = [this](CallerRequest &&request) {
            received.push_back(std::move(request));
        };
        handlers.onCallerLeft = [](CallerId) {};
        handlers.onConsumed = [](CallerId, std::size_t) {};
        GatewayLimits limits;
        limits.memory = &memory;
        limits.maxHeaderBytes = 16U << 10;
        for (unsigned attempt = 0; !gateway && attempt < 100; ++attempt) {
            endpoint = Endpoint{"127.0.0.1",
                                static_cast<std::uint16_t>(24100 + (getpid() + attempt * 7) % 900)};
            auto opened = HttpGateway::open(loop, metrics, endpoint, limits, handlers);
            if (auto *ready = std::get_if<std::unique_ptr<HttpGateway>>(&opened))
                gateway = std::move(*ready);
        }
        REQUIRE(gateway);
    }

    void send(int lines)
    {
        HttpRequest request;
        request.url = "http://" + toString(endpoint) + "/";
        request.target = "/x";
        for (int i = 0; i < lines; ++i)
            request.headers.emplace_back("x-" + std::to_string(i), "v");
        request.freshConnection = true;
        HttpClient::Handlers handlers;
        handlers.onHead = [this](const HttpHead &head) { refused += head.status == 503 ? 1 : 0; };
        handlers.onDone = [](const std::optional<HttpFailure> &) {};
        client.start(std::move(request), std::move(handlers));
    }

    void runFor(milliseconds time)
    {
        Timer end(loop, [this] { loop.stop(); });
        end.startOnce(time);
        loop.run();
    }
};

} // namespace

// Guards against heads of many short lines, each of which takes many times its length in memory: as
// many callers as the process has connections may wait with one.
TEST_CASE_METHOD(CallerHeadFixture,
                 "caller heads, many with many lines, some are refused and usual ones are served")
{
    constexpr int manyLines = 600;
    // Of two strings for each line, without what they point to.
    constexpr std::size_t headBytes = manyLines * sizeof(HeaderList::value_type);
    send(manyLines);
    runFor(milliseconds(50));
    CHECK(received.size() == 1);
    for (int i = 1; i < callerCount; ++i)
        send(manyLines);
    runFor(milliseconds(400));
    CHECK(received.size() * headBytes <= limitBytes / 4);
    CHECK(refused == callerCount - static_cast<int>(received.size()));
    const std::size_t before = received.size();
    send(10);
    runFor(milliseconds(100));
    CHECK(received.size() == before + 1);
}
