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
    HeaderList headers;

    void call(const ScriptedServer &server)
    {
        HttpRequest request;
        request.url = "http://" + toString(server.address()) + "/";
        request.totalTimeout = timeout;
        request.headers = headers;
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

// Guards against a head that is cut off and counts as a whole answer without a body.
TEST_CASE_METHOD(HttpClientFixture, "http client, head without its blank line, fails")
{
    const std::string bytes =
            GENERATE("HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-A: b\r\n",
                     "HTTP/1.1 200 OK\r\nX-A: b\r\nX-B", "HTTP/1.1 100 Continue\r\n\r\n",
                     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
                     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n");
    CAPTURE(bytes);
    ScriptedServer server(loop, [bytes](auto &connection, const std::string &) {
        connection.send(bytes);
        connection.close();
    });
    call(server);
    REQUIRE(isDone);
    REQUIRE(failure);
    CHECK(failure->maybeSent);
}

// Guards against trailers after the last chunk that make a whole answer look like a cut-off one.
TEST_CASE_METHOD(HttpClientFixture, "http client, chunks with trailers, succeeds")
{
    ScriptedServer server(loop, [](auto &connection, const std::string &) {
        connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                        "X-After: 1\r\n\r\n");
    });
    call(server);
    REQUIRE(isDone);
    CHECK_FALSE(failure);
}

// Guards against a pool of connections that have gone silent together and fail one call after the
// other.
TEST_CASE_METHOD(HttpClientFixture,
                 "http client, idle connections gone silent, fails one call and uses new ones")
{
    int silent = 0;
    int accepted = 0;
    ScriptedServer server(loop, [&](auto &connection, const std::string &) {
        accepted = connection.number();
        if (connection.number() > silent)
            connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    constexpr int pooled = 4;
    int answered = 0;
    for (int i = 0; i < pooled; ++i) {
        HttpRequest request;
        request.url = "http://" + toString(server.address()) + "/";
        HttpClient::Handlers handlers;
        handlers.onDone = [&](const std::optional<HttpFailure> &result) {
            answered += result ? 0 : 1;
            if (answered == pooled)
                loop.stop();
        };
        client.start(std::move(request), std::move(handlers));
    }
    loop.run();
    REQUIRE(accepted == pooled);
    silent = pooled;
    call(server);
    REQUIRE(failure);
    CHECK(failure->isConnectionReused);
    for (int i = 0; i < pooled; ++i) {
        isDone = false;
        call(server);
        REQUIRE(isDone);
        CHECK_FALSE(failure);
    }
}

// Guards against a request on a connection that carries bytes of nobody's answer, and that are
// taken for its answer.
TEST_CASE_METHOD(HttpClientFixture,
                 "http client, bytes arrive on an idle connection, uses another one")
{
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string unasked = GENERATE("x", "\r\n", "HTTP/1.1 200 OK\r\nContent-Le",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno");
    CAPTURE(unasked);
    std::vector<int> usedConnections;
    std::function<void()> sendUnasked;
    ScriptedServer server(loop, [&](auto &connection, const std::string &) {
        usedConnections.push_back(connection.number());
        connection.send(ok);
        if (usedConnections.size() == 1)
            sendUnasked = [&connection, unasked] { connection.send(unasked); };
    });
    call(server);
    REQUIRE_FALSE(failure);
    REQUIRE(sendUnasked);
    sendUnasked();
    call(server);
    REQUIRE(isDone);
    CHECK_FALSE(failure);
    CHECK(usedConnections == std::vector{1, 2});
    CHECK(server.closedByPeer() == 1);
}

// Guards against a header without a value that does not reach the server.
TEST_CASE_METHOD(HttpClientFixture, "http client, header without a value, is sent")
{
    ScriptedServer server(loop, [](auto &connection, const std::string &) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    headers = {{"x-empty", ""}, {"x-full", "a"}};
    call(server);
    REQUIRE(server.requests().size() == 1);
    CHECK(server.requests()[0].find("\r\nx-empty:\r\n") != std::string::npos);
    CHECK(server.requests()[0].find("\r\nx-full: a\r\n") != std::string::npos);
}
