#include "http/HttpClient.h"

#include "direct/ScriptedServer.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace lovagecourse;
using test::ScriptedServer;

namespace {

constexpr milliseconds timeout{50};

struct HttpClientFixture
{
    EventLoop loop;
    HttpClient client{loop};
    bool isDone = false;
    std::optional<HttpFailure> failure;

    void call(const ScriptedServer &server)
    {
        HttpRequest request;
        request.url = "http://" + toString(server.address()) + "/";
        request.totalTimeout = timeout;
        HttpClient::Handlers handlers;
        handlers.onDone = [this](const std::optional<HttpFailure> &result) {
            isDone = true;
            failure = result;
            loop.stop();
        };
        client.start(std::move(request), std::move(handlers));
        Timer limit(loop, [this] { loop.stop(); });
        limit.startOnce(10 * timeout);
        loop.run();
    }
};

} // namespace

// Guards against a peer that counts as silent because this process was late.
TEST_CASE_METHOD(HttpClientFixture,
                 "http client, answer waits in the socket past the timeout, succeeds")
{
    ScriptedServer server(loop, [](auto &connection, const std::string &) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        std::this_thread::sleep_for(2 * timeout);
    });
    call(server);
    REQUIRE(isDone);
    CHECK_FALSE(failure);
}

// Guards against a transfer that waits forever.
TEST_CASE_METHOD(HttpClientFixture, "http client, server silent, fails after the timeout")
{
    ScriptedServer server(loop, [](auto &, const std::string &) {});
    const auto start = std::chrono::steady_clock::now();
    call(server);
    REQUIRE(isDone);
    REQUIRE(failure);
    CHECK(failure->maybeSent);
    CHECK(std::chrono::steady_clock::now() - start >= timeout);
}
