#include "agent/OrderTransfer.h"

#include "direct/ScriptedServer.h"

#include <catch2/catch.hpp>

#include <tuple>

using namespace lovagecourse;
using test::ScriptedServer;

namespace {

struct OrderTransferFixture
{
    EventLoop loop;
    HttpClient client{loop};

    OrderResult send(const ScriptedServer &server, std::function<bool()> maySend)
    {
        std::optional<OrderResult> result;
        const ServerOrder order{ServerId("s"), FencingNumber(5), "load-model", "m"};
        startOrder(client, order, server.address(), std::move(maySend), [&](OrderResult value) {
            result = value;
            loop.stop();
        });
        loop.run();
        REQUIRE(result);
        return *result;
    }
};

} // namespace

// Guards against an order that was allowed when its transfer was started, and is written after a
// suspension during which another agent has sent newer orders.
TEST_CASE_METHOD(OrderTransferFixture,
                 "order transfer, forbidden when the connection is ready, sends nothing")
{
    ScriptedServer server(loop, [](auto &, const std::string &) {});
    CHECK(send(server, [] { return false; }) == OrderResult::NotSent);
    CHECK(server.requests().empty());
}

// Guards against an order that libcurl sends again by itself, later than it was allowed, when a
// kept connection ends without an answer.
TEST_CASE_METHOD(OrderTransferFixture,
                 "order transfer, kept connection ends after the order, sends it once")
{
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    ScriptedServer server(loop, [&](auto &connection, const std::string &) {
        if (connection.number() == 1 && server.requests().size() == 1)
            connection.send(ok);
        else
            connection.close();
    });
    HttpRequest probe;
    probe.url = "http://" + toString(server.address()) + "/load";
    HttpClient::Handlers handlers;
    handlers.onDone = [this](const std::optional<HttpFailure> &) { loop.stop(); };
    client.start(probe, std::move(handlers));
    loop.run();
    CHECK(send(server, [] { return true; }) == OrderResult::Failed);
    CHECK(server.requests().size() == 2);
}

// Guards against an order that is repeated although the server took it, or dropped although it did
// not.
TEST_CASE_METHOD(OrderTransferFixture, "order transfer, server answers, result follows the status")
{
    std::string status;
    OrderResult expected{};
    std::tie(status, expected) = GENERATE(
            table<std::string, OrderResult>({{"200 OK", OrderResult::Accepted},
                                             {"409 Conflict", OrderResult::Outdated},
                                             {"503 Service Unavailable", OrderResult::Failed}}));
    ScriptedServer server(loop, [&](auto &connection, const std::string &) {
        connection.send("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}");
    });
    CHECK(send(server, [] { return true; }) == expected);
}
