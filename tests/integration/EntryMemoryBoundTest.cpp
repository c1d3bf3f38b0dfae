#include "integration/EntryHost.h"
#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

using namespace lovagecourse::test;

// Guards against an entry that refuses what it has room for.
TEST_CASE("entry memory bound, one large legal body in calm, is served")
{
    EntryHost host(answerOk);
    CHECK(isLargeBodyServed(host.target()));
    host.requireBounded();
}

// Guards against large frames that end the process, and copies of bodies in links to agents.
TEST_CASE("entry memory bound, many large legal bodies, stays within the limit")
{
    EntryHost host(answerOk);
    const Crowd crowd = sendLargeBodies(host.target());
    host.requireBounded();
}

// Guards against bodies that never end and keep their memory.
TEST_CASE("entry memory bound, large bodies in pieces that stop before their end, stays within the "
          "limit")
{
    EntryHost host(answerOk);
    const Crowd crowd = sendUnfinishedBodies(host.target());
    host.requireBounded();
}

// Guards against a limit that is applied after the body was read.
TEST_CASE("entry memory bound, bodies far over the limit, announced, stays within the limit")
{
    EntryHost host(answerOk);
    const Crowd crowd = sendExcessiveAnnouncedBodies(host.target());
    host.requireBounded();
}

// Guards against a limit that holds for announced bodies only.
TEST_CASE("entry memory bound, bodies far over the limit, unannounced, stays within the limit")
{
    EntryHost host(answerOk);
    const Crowd crowd = sendExcessiveChunkedBodies(host.target());
    host.requireBounded();
}

// Guards against chunked bodies that stop before their end and are kept.
TEST_CASE("entry memory bound, chunked bodies in large chunks, stays within the limit")
{
    EntryHost host(answerOk);
    const Crowd crowd = sendUnfinishedLargeChunks(host.target());
    host.requireBounded();
}

// Guards against chunks whose bookkeeping takes more memory than their bytes.
TEST_CASE("entry memory bound, chunked bodies in very small chunks, stays within the limit")
{
    EntryHost host(answerOk);
    const Crowd crowd = sendUnfinishedSmallChunks(host.target());
    host.requireBounded();
}

// Guards against answers that are kept for clients that never read them.
TEST_CASE("entry memory bound, clients that do not read their answers, stays within the limit")
{
    EntryHost host(largeAnswer());
    const Crowd crowd = leaveAnswersUnread(host.target());
    host.requireBounded();
}

// Guards against streams that are read ahead of clients that hardly read.
TEST_CASE("entry memory bound, streams read at one byte per second, stays within the limit")
{
    EntryHost host(streamAnswer());
    const Crowd crowd = readStreamsSlowly(host.target());
    host.requireBounded();
}

// Guards against answers without end that the agent or the entry keeps.
TEST_CASE("entry memory bound, server that sends without end, stays within the limit")
{
    const EntryHost *entry = nullptr;
    EntryHost host(endlessAnswer([&] { return !entry || entry->isStopping(); }));
    entry = &host;
    const Crowd crowd = requestEndlessAnswers(host.target());
    host.requireBounded();
}

// Guards against requests that wait for a server, held by the entry and the agent.
TEST_CASE("entry memory bound, server that reads its requests slowly, stays within the limit")
{
    const EntryHost *entry = nullptr;
    EntryHost host(slowReader([&] { return !entry || entry->isStopping(); }));
    entry = &host;
    const Crowd crowd = sendToSlowServer(host.target());
    host.requireBounded();
}
