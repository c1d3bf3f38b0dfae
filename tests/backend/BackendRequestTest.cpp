#include "backend/BackendRequest.h"

#include "direct/ScriptedServer.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace lovagecourse;
using test::ScriptedServer;

namespace {

struct BackendRequestFixture
{
    EventLoop loop;
    HttpClient client{loop};

    /// Outcome of a request that the server answers with these bytes and the end of the connection.
    std::optional<BackendOutcome> outcomeOf(const std::string &bytes)
    {
        ScriptedServer server(loop, [&](auto &connection, const std::string &) {
            connection.send(bytes);
            connection.close();
        });
        HttpRequest request;
        request.url = "http://" + toString(server.address()) + "/";
        std::optional<BackendOutcome> outcome;
        BackendRequest::Handlers handlers;
        handlers.onHead = [](int, const HeaderList &) {};
        handlers.onPart = [](AnswerPart &&) {};
        handlers.onEnd = [&](BackendOutcome ended) {
            outcome = ended;
            loop.stop();
        };
        const BackendRequest backend(client, request, 0, 1U << 20, std::move(handlers));
        Timer limit(loop, [this] { loop.stop(); });
        limit.startOnce(seconds(2));
        loop.run();
        return outcome;
    }
};

} // namespace

// Guards against an answer that is cut by a crash and counts as complete.
TEST_CASE_METHOD(BackendRequestFixture, "backend request, answer without framing, is not proven")
{
    CHECK(outcomeOf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") == BackendOutcome::Complete);
    CHECK(outcomeOf("HTTP/1.1 200 OK\r\n\r\nok") == BackendOutcome::Unproven);
    CHECK(outcomeOf("HTTP/1.1 200 OK\r\nX-Cut") == BackendOutcome::Broken);
}

// Guards against a stream that ends without its last event and counts as complete.
TEST_CASE_METHOD(BackendRequestFixture,
                 "backend request, stream without framing, needs its last event")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream\r\n\r\n";
    CHECK(outcomeOf(head + "data: a\n\n") == BackendOutcome::Broken);
    CHECK(outcomeOf(head + "data: a\n\ndata: [DONE]\n\n") == BackendOutcome::Complete);
}
