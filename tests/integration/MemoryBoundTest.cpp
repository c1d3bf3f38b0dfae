#include "integration/CallerCrowd.h"
#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace lovagecourse::test;
using namespace std::chrono_literals;

namespace {

// max_sockets of the router under test.
constexpr std::size_t maxSockets = 1024;
// More than the 716 connections that a router accepts from callers with these sockets.
constexpr int silentClients = 1000;
constexpr int silentClientsAtOnce = 100;

CrowdTarget targetOf(const RouterHost &host)
{
    return {host.callers(), requestHead, {}};
}

void requireBounded(RouterHost &host)
{
    lovagecourse::test::requireBounded({&host.process()}, [&] { return host.servesRequest(); });
}

} // namespace

// Guards against a router that refuses what it has room for: one body of the largest legal size.
TEST_CASE("memory bound, one large legal body in calm, is served")
{
    RouterHost host(maxMemoryMb, answerOk);
    CHECK(isLargeBodyServed(targetOf(host)));
    requireBounded(host);
}

// Guards against bodies that are held although the memory does not suffice for all of them.
TEST_CASE("memory bound, many large legal bodies, stays within the limit")
{
    RouterHost host(maxMemoryMb, answerOk);
    const Crowd crowd = sendLargeBodies(targetOf(host));
    requireBounded(host);
}

// Guards against one address that keeps the memory from all others with bodies in progress.
TEST_CASE("memory bound, one address holds the memory, another address is served")
{
    RouterHost host(maxMemoryMb, answerOk);
    CHECK(isOtherAddressServed(targetOf(host)));
    requireBounded(host);
}

// Guards against bodies that never end and keep their memory for as long as the client likes.
TEST_CASE("memory bound, large bodies in pieces that stop before their end, stays within the limit")
{
    RouterHost host(maxMemoryMb, answerOk);
    const Crowd crowd = sendUnfinishedBodies(targetOf(host));
    requireBounded(host);
}

// Guards against a limit that is applied after the body was read.
TEST_CASE("memory bound, bodies far over the limit, announced, stays within the limit")
{
    RouterHost host(maxMemoryMb, answerOk);
    const Crowd crowd = sendExcessiveAnnouncedBodies(targetOf(host));
    requireBounded(host);
}

// Guards against a limit that holds for announced bodies only.
TEST_CASE("memory bound, bodies far over the limit, unannounced, stays within the limit")
{
    RouterHost host(maxMemoryMb, answerOk);
    const Crowd crowd = sendExcessiveChunkedBodies(targetOf(host));
    requireBounded(host);
}

// Guards against chunked bodies that stop before their end and are kept.
TEST_CASE("memory bound, chunked bodies in large chunks, stays within the limit")
{
    RouterHost host(maxMemoryMb, answerOk);
    const Crowd crowd = sendUnfinishedLargeChunks(targetOf(host));
    requireBounded(host);
}

// Guards against chunks whose bookkeeping takes more memory or time than their bytes.
TEST_CASE("memory bound, chunked bodies in very small chunks, stays within the limit")
{
    RouterHost host(maxMemoryMb, answerOk);
    const Crowd crowd = sendUnfinishedSmallChunks(targetOf(host));
    requireBounded(host);
}

// Guards against heads that grow without end on many connections.
TEST_CASE("memory bound, heads that never end, stays within the limit")
{
    RouterHost host(maxMemoryMb, answerOk);
    const Crowd crowd = sendUnfinishedHeads(targetOf(host));
    requireBounded(host);
}

// Guards against answers that are kept, twice each, for clients that never read them.
TEST_CASE("memory bound, clients that do not read their answers, stays within the limit")
{
    RouterHost host(maxMemoryMb, largeAnswer());
    const Crowd crowd = leaveAnswersUnread(targetOf(host));
    requireBounded(host);
}

// Guards against streams that are read ahead of clients that hardly read.
TEST_CASE("memory bound, streams read at one byte per second, stays within the limit")
{
    RouterHost host(maxMemoryMb, streamAnswer());
    const Crowd crowd = readStreamsSlowly(targetOf(host));
    requireBounded(host);
}

// Guards against answers without end, which are kept until they are too large, each by itself.
TEST_CASE("memory bound, server that sends without end, stays within the limit")
{
    const RouterHost *router = nullptr;
    RouterHost host(maxMemoryMb, endlessAnswer([&] { return !router || router->isStopping(); }));
    router = &host;
    const Crowd crowd = requestEndlessAnswers(targetOf(host));
    requireBounded(host);
}

// Guards against requests that wait for a server, twice each.
TEST_CASE("memory bound, server that reads its requests slowly, stays within the limit")
{
    const RouterHost *router = nullptr;
    RouterHost host(maxMemoryMb, slowReader([&] { return !router || router->isStopping(); }));
    router = &host;
    const Crowd crowd = sendToSlowServer(targetOf(host));
    requireBounded(host);
}

// Guards against clients that connect, send nothing and displace clients that have work.
TEST_CASE("memory bound, connections without a request, are closed before idle ones")
{
    RouterHost host(maxMemoryMb, answerOk);
    LoopbackConnection kept(host.callers());
    const std::string request = requestHead("/plain/ordinary") + "Content-Length: 5\r\n\r\nhello";
    const auto isAnswered = [&] {
        RawMessage answer;
        return kept.send(request) && readMessage(kept, answer, 20s) && answer.status() == 200;
    };
    REQUIRE(isAnswered());
    Crowd silent;
    while (silent.size() < silentClients) {
        silent.emplace_back(host.callers());
        if (silent.size() % silentClientsAtOnce == 0)
            std::this_thread::sleep_for(500ms);
    }
    REQUIRE(host.isRunning());
    CHECK(isAnswered());
    CHECK(host.servesRequest());
    REQUIRE(host.isRunning());
    CHECK(host.process().peakMemoryMb() <= maxMemoryMb);
    CHECK(host.process().descriptors() <= maxSockets);
}
