#include "integration/CallerCrowd.h"

#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <sstream>
#include <thread>

using namespace std::chrono_literals;

namespace lovagecourse::test {

namespace {

constexpr std::size_t largeBodyBytes = 4U << 20;
constexpr std::size_t excessiveBodyBytes = 60U << 20;
constexpr int largeBodyClients = 40;
constexpr int excessiveBodyClients = 8;
constexpr int smallChunkClients = 40;
constexpr std::size_t smallChunkBytes = 32;
constexpr int headClients = 200;
constexpr int unreadAnswerClients = 60;
constexpr std::size_t unreadAnswerBytes = 3U << 20;
constexpr int slowStreamClients = 200;
constexpr int silentClients = 300;
constexpr int endlessAnswerClients = 30;
constexpr int slowServerClients = 40;
const std::string block(64U << 10, 'x');

Crowd runCrowd(const CrowdTarget &target, int count,
               const std::function<void(LoopbackConnection &)> &client)
{
    Crowd crowd;
    for (int i = 0; i < count / target.crowdDivisor; ++i)
        crowd.emplace_back(target.endpoint, target.source);
    std::vector<std::thread> threads;
    for (LoopbackConnection &connection : crowd)
        threads.emplace_back([&] { client(connection); });
    for (std::thread &thread : threads)
        thread.join();
    return crowd;
}

/// Sends blocks until the bytes are sent or the process takes no more.
void sendBytes(LoopbackConnection &connection, std::size_t count)
{
    while (count > 0) {
        const std::size_t size = std::min(count, block.size());
        if (!connection.send(std::string_view(block).substr(0, size)))
            return;
        count -= size;
    }
}

std::string chunk(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'x') << "\r\n";
    return text.str();
}

/// Sends chunks without the last one, which would end the body.
void sendChunks(LoopbackConnection &connection, std::size_t count, std::size_t chunkBytes)
{
    std::string chunks;
    for (std::size_t sent = 0; sent < count; sent += chunkBytes) {
        chunks += chunk(chunkBytes);
        if (chunks.size() < block.size())
            continue;
        if (!connection.send(chunks))
            return;
        chunks.clear();
    }
    connection.send(chunks);
}

std::string lengthHead(const CrowdTarget &target, std::size_t bytes)
{
    return target.requestHead("/plain/large") + "Content-Length: " + std::to_string(bytes)
           + "\r\n\r\n";
}

Crowd runChunkCrowd(const CrowdTarget &target, int clients, std::size_t bytes,
                    std::size_t chunkBytes)
{
    return runCrowd(target, clients, [&](LoopbackConnection &client) {
        if (client.send(target.requestHead("/plain/large") + "Transfer-Encoding: chunked\r\n\r\n"))
            sendChunks(client, bytes, chunkBytes);
    });
}

Crowd runSmallCrowd(const CrowdTarget &target, int clients, const std::string &path)
{
    return runCrowd(target, clients, [&](LoopbackConnection &client) {
        client.send(target.requestHead(path) + "Content-Length: 5\r\n\r\nhello");
    });
}

} // namespace

bool isLargeBodyServed(const CrowdTarget &target)
{
    LoopbackConnection client(target.endpoint, target.source);
    if (!client.send(lengthHead(target, largeBodyBytes)))
        return false;
    sendBytes(client, largeBodyBytes);
    RawMessage answer;
    return readMessage(client, answer, 20s) && answer.status() == 200 && answer.body == "ok";
}

bool isOtherAddressServed(const CrowdTarget &target)
{
    std::atomic<bool> isAnswered = false;
    std::thread holder([&] {
        runCrowd(target, largeBodyClients, [&](LoopbackConnection &client) {
            bool isOpen = client.send(lengthHead(target, largeBodyBytes));
            for (int piece = 0; isOpen && piece < 50; ++piece) {
                isOpen = client.send(block);
                std::this_thread::sleep_for(100ms);
            }
            // Enough for a body to make progress, without reaching its end.
            for (int piece = 0; isOpen && !isAnswered && piece < 33; ++piece) {
                isOpen = client.send(std::string_view(block).substr(0, 20U << 10));
                std::this_thread::sleep_for(300ms);
            }
        });
    });
    std::this_thread::sleep_for(7s);
    CrowdTarget other = target;
    other.source = "127.0.0.2";
    const bool isServed = isLargeBodyServed(other);
    isAnswered = true;
    holder.join();
    return isServed;
}

Crowd sendLargeBodies(const CrowdTarget &target)
{
    return runCrowd(target, largeBodyClients, [&](LoopbackConnection &client) {
        if (client.send(lengthHead(target, largeBodyBytes)))
            sendBytes(client, largeBodyBytes);
        RawMessage answer;
        readMessage(client, answer, 3s);
    });
}

Crowd sendUnfinishedBodies(const CrowdTarget &target)
{
    return runCrowd(target, largeBodyClients, [&](LoopbackConnection &client) {
        client.send(lengthHead(target, largeBodyBytes));
        for (int piece = 0; piece < 8; ++piece) {
            sendBytes(client, largeBodyBytes / 8 - 16);
            std::this_thread::sleep_for(20ms);
        }
    });
}

Crowd sendExcessiveAnnouncedBodies(const CrowdTarget &target)
{
    return runCrowd(target, excessiveBodyClients, [&](LoopbackConnection &client) {
        if (client.send(lengthHead(target, excessiveBodyBytes)))
            sendBytes(client, excessiveBodyBytes - 1);
    });
}

Crowd sendExcessiveChunkedBodies(const CrowdTarget &target)
{
    return runChunkCrowd(target, excessiveBodyClients, excessiveBodyBytes, block.size());
}

Crowd sendUnfinishedLargeChunks(const CrowdTarget &target)
{
    return runChunkCrowd(target, largeBodyClients, largeBodyBytes - block.size(), block.size());
}

Crowd sendUnfinishedSmallChunks(const CrowdTarget &target)
{
    return runChunkCrowd(target, smallChunkClients, largeBodyBytes - block.size(), smallChunkBytes);
}

Crowd sendUnfinishedHeads(const CrowdTarget &target)
{
    return runCrowd(target, headClients, [&](LoopbackConnection &client) {
        bool isOpen = client.send(target.requestHead("/plain/large"));
        for (int line = 0; isOpen && line < 200; ++line)
            isOpen = client.send("X-Line-" + std::to_string(line) + ": " + std::string(500, 'h')
                                 + "\r\n");
    });
}

Crowd leaveAnswersUnread(const CrowdTarget &target)
{
    Crowd crowd = runSmallCrowd(target, unreadAnswerClients, "/plain/answer");
    std::this_thread::sleep_for(2s);
    return crowd;
}

Crowd readStreamsSlowly(const CrowdTarget &target)
{
    Crowd crowd = runSmallCrowd(target, slowStreamClients, "/stream/slow");
    for (int second = 0; second < 4; ++second) {
        std::this_thread::sleep_for(1s);
        std::string bytes;
        for (LoopbackConnection &client : crowd)
            client.receive(bytes, 1, 0ms);
    }
    return crowd;
}

Crowd staySilent(const CrowdTarget &target)
{
    return runCrowd(target, silentClients, [](LoopbackConnection &) {});
}

Crowd requestEndlessAnswers(const CrowdTarget &target)
{
    Crowd crowd = runSmallCrowd(target, endlessAnswerClients, "/plain/endless");
    std::this_thread::sleep_for(2s);
    return crowd;
}

Crowd sendToSlowServer(const CrowdTarget &target)
{
    Crowd crowd = runCrowd(target, slowServerClients, [&](LoopbackConnection &client) {
        if (client.send(lengthHead(target, largeBodyBytes)))
            sendBytes(client, largeBodyBytes);
    });
    std::this_thread::sleep_for(1s);
    return crowd;
}

ServerAnswer largeAnswer()
{
    return [](LoopbackConnection &connection, RawMessage &request) {
        return connection.send(answerHead(request)
                               + "Content-Length: " + std::to_string(unreadAnswerBytes) + "\r\n\r\n"
                               + std::string(unreadAnswerBytes, 'a'));
    };
}

ServerAnswer streamAnswer()
{
    return [](LoopbackConnection &connection, RawMessage &request) {
        const std::string event = "id: 1\ndata: " + std::string(2000, 'e') + "\n\n";
        connection.send(answerHead(request) + "Content-Type: text/event-stream\r\n\r\n");
        for (int number = 0; number < 2000; ++number) {
            if (!connection.send(event))
                return false;
        }
        return false;
    };
}

ServerAnswer endlessAnswer(const std::function<bool()> &isStopping)
{
    return [isStopping](LoopbackConnection &connection, RawMessage &request) {
        bool isOpen =
                connection.send(answerHead(request) + "Content-Type: application/json\r\n\r\n");
        while (isOpen && !isStopping())
            isOpen = connection.send(block);
        return false;
    };
}

ServerAnswer slowReader(const std::function<bool()> &isStopping)
{
    return [isStopping](LoopbackConnection &connection, RawMessage &request) {
        while (!isStopping()) {
            std::this_thread::sleep_for(50ms);
            if (!connection.receive(request.body, 1U << 10, 1s))
                return false;
        }
        return false;
    };
}

void requireBounded(const std::vector<Process *> &processes,
                    const std::function<bool()> &servesRequest)
{
    // Sent bytes may still be in the sockets' buffers.
    std::this_thread::sleep_for(1s);
    for (Process *process : processes)
        REQUIRE(process->isRunning());
    CHECK(servesRequest());
    for (Process *process : processes) {
        REQUIRE(process->isRunning());
        CHECK(process->peakMemoryMb() <= maxMemoryMb);
        CHECK(process->descriptors() <= maxDescriptors);
    }
}

} // namespace lovagecourse::test
