#include "direct/DirectRouter.h"

#include "direct/DirectRouterFixture.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <functional>

using namespace lovagecourse;
using test::CallerAnswer;
using test::DirectRouterFixture;
using test::ScriptedServer;

namespace {

/// An address at which connections are neither accepted nor refused.
class SilentAddress
{
public:
    SilentAddress()
    {
        sockaddr_in local = toSocketAddress(Endpoint{"127.0.0.1", 1});
        local.sin_port = 0;
        REQUIRE(bind(listener_, reinterpret_cast<const sockaddr *>(&local), sizeof(local)) == 0);
        REQUIRE(listen(listener_, 0) == 0);
        socklen_t size = sizeof(local);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&local), &size);
        address_ = toEndpoint(local);
        // Connections that fill the queue of the listening socket.
        for (int &filler : fillers_) {
            filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            static_cast<void>(
                    connect(filler, reinterpret_cast<const sockaddr *>(&local), sizeof(local)));
        }
    }
    ~SilentAddress()
    {
        for (const int filler : fillers_)
            ::close(filler);
        ::close(listener_);
    }
    SilentAddress(const SilentAddress &) = delete;
    SilentAddress &operator=(const SilentAddress &) = delete;

    Endpoint address() const { return address_; }

private:
    int listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    std::array<int, 4> fillers_{};
    Endpoint address_;
};

/// Two servers; the request that arrives first, at either of them, waits for the second.
struct HedgedRequestFixture : DirectRouterFixture
{
    struct Received
    {
        ScriptedServer::Connection *connection = nullptr;
        std::string request;
    };

    /// Called when the hedge has arrived.
    using OnHedge = std::function<void(const Received &first, const Received &hedge)>;

    std::vector<Received> received;
    std::unique_ptr<Timer> later;
    OnHedge onHedge = [](const Received &, const Received &) {};

    HedgedRequestFixture()
    {
        router->setHedgeShare(1);
        addRoute("/once/", RequestKind::Safe, 1);
        addRoute("/unsafe3/", RequestKind::Unsafe, 3);
        addRoute("/stream3/", RequestKind::Stream, 3);
        configure();
    }

    void addServers()
    {
        for (int i = 0; i < 2; ++i)
            addServer([this](auto &connection, const std::string &request) {
                received.push_back({&connection, request});
                if (received.size() == 2)
                    onHedge(received[0], received[1]);
            });
    }

    static void sendAnswer(const Received &to, int status, const std::string &body,
                           const std::string &extra = "X-Lovagecourse-Server-Stamp: st\r\n")
    {
        to.connection->send(answer(to.request, status, body, extra));
    }

    static void sendStream(const Received &to)
    {
        to.connection->send(streamHead(to.request) + chunk(event(1)) + chunk(event(2))
                            + chunk(event(3)) + "0\r\n\r\n");
    }

    /// Lets the first attempt answer a short time after the hedge has failed.
    void answerLater(const Received &to)
    {
        later = std::make_unique<Timer>(loop, [to] { sendAnswer(to, 200, "good"); });
        later->startOnce(milliseconds(20));
    }

    double hedges(std::string_view outcome) const
    {
        return metrics.counterValue("lovagecourse_hedges_total", outcome);
    }

    double withheld(std::string_view reason) const
    {
        return metrics.counterValue("lovagecourse_hedges_withheld_total", reason);
    }

    int closedByRouter() const
    {
        int closed = 0;
        for (const auto &server : servers)
            closed += server->closedByPeer();
        return closed;
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        const TimePoint limit = clock.now() + seconds(5);
        while (!isDone() && clock.now() < limit)
            runFor(milliseconds(2));
        REQUIRE(isDone());
    }

    double failureRate(const std::string &server) const
    {
        PlacementRequest request;
        request.service = ServiceId("desk");
        for (const ServerEntry &entry : entries) {
            if (entry.id.value != server)
                request.excluded.insert(entry.id);
        }
        const auto placement = pool.choose(request, clock.now());
        REQUIRE(placement);
        return placement->prediction.failureRate;
    }
};

} // namespace

// Guards against a caller that waits for a slow server although the hedge has answered, against a
// slow server that runs on for nobody, and against the loser's server being taken for failing.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, hedge answers first, its answer is used")
{
    addServers();
    onHedge = [](const Received &, const Received &hedge) { sendAnswer(hedge, 200, "second"); };
    const CallerAnswer got = call("GET", "/safe/x");
    CHECK(got.status == 200);
    CHECK(got.body == "second");
    CHECK(requestsAtServers() == 2);
    runUntil([this] { return closedByRouter() >= 1; });
    CHECK(hedges("sent") == 1);
    CHECK(hedges("won") == 1);
    CHECK(failureRate("s1") == 0);
    CHECK(failureRate("s2") == 0);
    CHECK(pool.running(ServerId("s1")) + pool.running(ServerId("s2")) == 0);
    CHECK(metrics.renderPrometheus().find("lovagecourse_hedge_saved_seconds") != std::string::npos);
}

// Guards against a hedge that displaces the first attempt's answer, and against both answers being
// delivered.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, first attempt answers, its answer is used")
{
    addServers();
    onHedge = [](const Received &first, const Received &) { sendAnswer(first, 200, "first"); };
    const CallerAnswer got = call("GET", "/safe/x");
    CHECK(got.status == 200);
    CHECK(got.body == "first");
    runUntil([this] { return closedByRouter() >= 1; });
    CHECK(hedges("lost") == 1);
    CHECK(requestsAtServers() == 2);
    CHECK(router->openRequests() == 0);
}

// Guards against a hedge that reaches its server after the first attempt has answered.
TEST_CASE_METHOD(
        HedgedRequestFixture,
        "hedged request, first attempt answers while the hedge connects, hedge is not sent")
{
    Received first;
    addServer([&](auto &connection, const std::string &request) {
        first = Received{&connection, request};
    });
    const auto got = start("GET", "/safe/x");
    runUntil([&] { return first.connection != nullptr; });
    const SilentAddress silent;
    ServerEntry entry = entries.front();
    entry.id = ServerId("silent");
    entry.address = silent.address();
    pool.apply(RegistrationChange{entry.id, entry}, clock.now());
    runUntil([&] { return pool.running(entry.id) > 0; });
    sendAnswer(first, 200, "first");
    runUntil([&] { return got->isDone; });
    CHECK(got->status == 200);
    CHECK(got->body == "first");
    CHECK(hedges("lost") == 1);
    CHECK(pool.running(entry.id) == 0);
}

// Guards against an answer that is given up, or a third attempt, when one of the two attempts
// fails.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, one attempt fails, the other one answers")
{
    addServers();
    SECTION("first attempt breaks")
    {
        onHedge = [](const Received &first, const Received &hedge) {
            first.connection->reset();
            sendAnswer(hedge, 200, "good");
        };
    }
    SECTION("hedge breaks")
    {
        onHedge = [this](const Received &first, const Received &hedge) {
            hedge.connection->reset();
            answerLater(first);
        };
    }
    SECTION("hedge has a foreign id")
    {
        onHedge = [this](const Received &first, const Received &hedge) {
            hedge.connection->send(answer("", 200, "bad", "X-Lovagecourse-Attempt-Id: other\r\n"));
            answerLater(first);
        };
    }
    SECTION("hedge answers 500")
    {
        onHedge = [this](const Received &first, const Received &hedge) {
            sendAnswer(hedge, 500, "bad");
            answerLater(first);
        };
    }
    SECTION("hedge was not executed")
    {
        onHedge = [this](const Received &first, const Received &hedge) {
            sendAnswer(hedge, 503, "", "X-Lovagecourse-Not-Executed: 1\r\nRetry-After: 1\r\n");
            answerLater(first);
        };
    }
    const CallerAnswer got = call("GET", "/safe/x");
    CHECK(got.status == 200);
    CHECK(got.body == "good");
    CHECK(requestsAtServers() == 2);
    CHECK(router->openRequests() == 0);
}

// Guards against a status that promises that the request has not run when the other attempt may
// have run it, and against further attempts after both have failed.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, both attempts fail, answers truthfully")
{
    addServers();
    int expected = 502;
    SECTION("both break")
    {
        onHedge = [](const Received &first, const Received &hedge) {
            first.connection->reset();
            hedge.connection->reset();
        };
    }
    SECTION("first breaks, hedge answers 429")
    {
        onHedge = [](const Received &first, const Received &hedge) {
            first.connection->reset();
            sendAnswer(hedge, 429, "", "X-Lovagecourse-Server-Stamp: st\r\nRetry-After: 1\r\n");
        };
    }
    SECTION("first answers 500, hedge was not executed")
    {
        expected = 500;
        onHedge = [](const Received &first, const Received &hedge) {
            sendAnswer(first, 500, "bad");
            sendAnswer(hedge, 503, "", "X-Lovagecourse-Not-Executed: 1\r\nRetry-After: 1\r\n");
        };
    }
    const CallerAnswer got = call("GET", "/safe/x");
    CHECK(got.status == expected);
    CHECK(requestsAtServers() == 2);
    CHECK(router->openRequests() == 0);
}

// Guards against servers that run a request whose caller has left.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, caller leaves, closes both connections")
{
    addServers();
    start("GET", "/safe/x");
    runUntil([this] { return received.size() == 2; });
    callerSide.cancel(lastTransfer);
    runUntil([this] { return closedByRouter() == 2; });
    CHECK(router->openRequests() == 0);
    CHECK(hedges("unanswered") == 1);
    CHECK(pool.running(ServerId("s1")) + pool.running(ServerId("s2")) == 0);
}

// Guards against a process that can't exit, or a caller without an answer, with hedges in flight.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, process stops, caller gets 502")
{
    addServers();
    const auto got = start("GET", "/safe/x");
    runUntil([this] { return received.size() == 2; });
    router->endOpenRequests();
    CHECK(router->openRequests() == 0);
    runUntil([&] { return got->isDone && closedByRouter() == 2; });
    CHECK(got->status == 502);
}

// Guards against attempts that go on after the deadline.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, deadline passes, answers 504 and cancels")
{
    addServers();
    const CallerAnswer got = call("GET", "/safe/x");
    CHECK(got.status == 504);
    runUntil([this] { return closedByRouter() == 2; });
    CHECK(hedges("unanswered") == 1);
}

// Guards against a third attempt while two are open and both hang, where the route allows three.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, both hang, no third attempt and one end")
{
    addRoute("/three/", RequestKind::ResumableStream, 3);
    configure();
    addServers();
    addServers();
    SECTION("no answer begins") {}
    SECTION("both send a head and no event")
    {
        onHedge = [](const Received &first, const Received &hedge) {
            first.connection->send(streamHead(first.request));
            hedge.connection->send(streamHead(hedge.request));
        };
    }
    const CallerAnswer got = call("POST", "/three/x", {}, "b");
    CHECK(got.status == 504);
    runUntil([this] { return closedByRouter() == 2; });
    CHECK(requestsAtServers() == 2);
    CHECK(hedges("sent") == 1);
    CHECK(hedges("unanswered") == 1);
    CHECK(router->openRequests() == 0);
}

// Guards against a request that runs twice although it must not, and against more attempts than the
// route allows.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, not repeatable or one attempt, no hedge")
{
    addServers();
    SECTION("unsafe")
    {
        CHECK(call("POST", "/unsafe3/x", {}, "b").status == 504);
    }
    SECTION("stream that can't be resumed")
    {
        CHECK(call("POST", "/stream3/x", {}, "b").status == 504);
    }
    SECTION("one attempt allowed")
    {
        CHECK(call("GET", "/once/x").status == 504);
    }
    CHECK(requestsAtServers() == 1);
    CHECK(hedges("sent") == 0);
}

// Guards against events that are delivered twice or from both servers.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged stream, both answer, each event arrives once")
{
    addServers();
    bool hedgeFirst = false;
    SECTION("hedge first")
    {
        hedgeFirst = true;
    }
    SECTION("first attempt first") {}
    onHedge = [&](const Received &first, const Received &hedge) {
        sendStream(hedgeFirst ? hedge : first);
        sendStream(hedgeFirst ? first : hedge);
    };
    const CallerAnswer got = call("POST", "/resume/x", {}, "b");
    CHECK(got.isComplete);
    CHECK(got.status == 200);
    CHECK(got.body == event(1) + event(2) + event(3));
    CHECK(hedges("won") + hedges("lost") == 1);
    CHECK(requestsAtServers() == 2);
}

// Guards against a hedge that begins a stream anew after its first event.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged stream, pause after the first event, no hedge")
{
    Received first;
    for (int i = 0; i < 2; ++i)
        addServer([&](auto &connection, const std::string &request) {
            first = Received{&connection, request};
            connection.send(streamHead(request) + chunk(event(1)));
        });
    const auto got = start("POST", "/resume/x", {}, "b");
    runUntil([&] { return first.connection != nullptr; });
    runFor(milliseconds(250));
    first.connection->send(chunk(event(2)) + "0\r\n\r\n");
    runUntil([&] { return got->isDone; });
    CHECK(got->body == event(1) + event(2));
    CHECK(hedges("sent") == 0);
    CHECK(requestsAtServers() == 1);
}

// Guards against hedges without a setting that asks for them: only the retry of a stalled attempt
// remains.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, off, stalled attempt is retried")
{
    addServers();
    router->setHedgeShare(0);
    onHedge = [](const Received &, const Received &retry) { sendAnswer(retry, 200, "retry"); };
    CHECK(call("GET", "/safe/x").body == "retry");
    CHECK(hedges("sent") == 0);
    CHECK(metrics.renderPrometheus().find("hedge") == std::string::npos);
}

// Guards against hedges above their share, and against a stalled attempt that is not retried
// because its hedge was withheld.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, share used up, stalled attempt is retried")
{
    addServers();
    router->setHedgeShare(0.02);
    onHedge = [](const Received &, const Received &retry) { sendAnswer(retry, 200, "retry"); };
    CHECK(call("GET", "/safe/x").body == "retry");
    CHECK(withheld("no-hedge-budget") == 1);
    CHECK(hedges("sent") == 0);
}

// Guards against hedges in addition to the retry budget.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, retry budget used up, no hedge")
{
    addServers();
    router->setRetryLimits(RetryLimits{0, 0, seconds(10)});
    CHECK(call("GET", "/safe/x").status == 504);
    CHECK(withheld("no-retry-budget") == 1);
    CHECK(requestsAtServers() == 1);
}

// Guards against hedges that add to the load of a service that rejects requests.
TEST_CASE_METHOD(HedgedRequestFixture, "hedged request, service rejects, no hedge")
{
    addServers();
    onHedge = [this](const Received &first, const Received &hedge) {
        sendAnswer(hedge, 503, "", "X-Lovagecourse-Not-Executed: 1\r\nRetry-After: 1\r\n");
        answerLater(first);
    };
    CHECK(call("GET", "/safe/x").body == "good");
    CHECK(hedges("failed") == 1);
    received.clear();
    onHedge = [](const Received &, const Received &) {};
    const auto got = start("GET", "/safe/x");
    runUntil([this] { return withheld("rejecting") == 1; });
    sendAnswer(received.front(), 200, "good");
    runUntil([&] { return got->isDone; });
    CHECK(got->body == "good");
    CHECK(hedges("sent") == 1);
    CHECK(requestsAtServers() == 3);
}
