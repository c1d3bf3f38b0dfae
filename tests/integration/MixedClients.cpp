#include "integration/MixedClients.h"

#include "integration/RouterHost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>

using namespace std::chrono_literals;

namespace lovagecourse::test {

namespace {

// Leaves 208 clients of the existing crowds and 100 silent ones. With a server connection for each
// request, and those that are being replaced, they need fewer than maxDescriptors. They offer 5
// times maxMemoryMb in bodies per round.
constexpr int crowdDivisor = 3;
constexpr std::chrono::seconds defaultDuration = 10s;
constexpr std::chrono::milliseconds holdTime = 2s;
constexpr std::chrono::milliseconds sampleInterval = 20ms;
// A round sends, waits for up to 4 s and is slowed down by the others.
constexpr std::chrono::seconds roundLimit = 120s;

using Form = Crowd (*)(const CrowdTarget &);
constexpr std::array<Form, 10> forms{
        sendLargeBodies,
        sendUnfinishedBodies,
        sendExcessiveAnnouncedBodies,
        sendExcessiveChunkedBodies,
        sendUnfinishedLargeChunks,
        sendUnfinishedSmallChunks,
        sendUnfinishedHeads,
        leaveAnswersUnread,
        readStreamsSlowly,
        staySilent,
};

std::chrono::seconds duration()
{
    const char *text = std::getenv("MIXED_CLIENTS_SECONDS");
    return text ? std::chrono::seconds(std::stoul(text)) : defaultDuration;
}

} // namespace

MixedClients::MixedClients(const CrowdTarget &target)
    : target_(target)
{
    target_.crowdDivisor = crowdDivisor;
    for (const Form form : forms) {
        ++running_;
        threads_.emplace_back([this, form] { repeat(form); });
    }
}

MixedClients::~MixedClients()
{
    isStopping_ = true;
    isClosing_ = true;
    for (std::thread &thread : threads_)
        thread.join();
}

void MixedClients::repeat(Crowd (*form)(const CrowdTarget &))
{
    Crowd crowd;
    do {
        crowd.clear();
        crowd = form(target_);
        waitUntil(holdTime, [this] { return isStopping_.load(); });
    } while (!isStopping_);
    --running_;
    while (!isClosing_)
        std::this_thread::sleep_for(sampleInterval);
}

void MixedClients::run(const std::vector<Process *> &processes)
{
    std::size_t most = 0;
    const auto isEnded = [&] {
        for (Process *process : processes) {
            REQUIRE(process->isRunning());
            most = std::max(most, process->descriptors());
        }
        return isStopping_ && running_ == 0;
    };
    waitUntil(duration(), isEnded);
    isStopping_ = true;
    REQUIRE(waitUntil(roundLimit, isEnded));
    CHECK(most <= maxDescriptors);
}

ServerAnswer mixedAnswer()
{
    return [large = largeAnswer(), stream = streamAnswer()](LoopbackConnection &connection,
                                                            RawMessage &request) {
        if (request.head.find("/plain/answer ") != std::string::npos)
            return large(connection, request);
        if (request.head.find("/stream/slow ") != std::string::npos)
            return stream(connection, request);
        return answerOk(connection, request);
    };
}

} // namespace lovagecourse::test
