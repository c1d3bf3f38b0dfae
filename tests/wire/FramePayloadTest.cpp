#include "wire/FramePayload.h"

#include <catch2/catch.hpp>

#include <numeric>

using namespace lovagecourse;

// Guards against a frame above its limit, which ends the process: small messages whose number is
// not bounded, and lists that are larger than estimated.
TEST_CASE("frame payload, many messages with long lists, are sent in frames within the limit")
{
    CrashSuspectNotice notice;
    notice.suspects.resize(1);
    notice.suspects.front().crashes.resize(20000);
    std::deque<Message> queue(200, notice);
    std::size_t messages = 0;
    std::size_t frames = 0;
    for (; !queue.empty(); ++frames) {
        const auto payload = takeFramePayload(queue);
        REQUIRE(std::holds_alternative<std::string>(payload));
        REQUIRE(std::get<std::string>(payload).size() <= maxFrameBytes);
        const auto decoded = decodeMessages(std::get<std::string>(payload));
        messages += std::get<std::vector<Message>>(decoded).size();
    }
    CHECK(messages == 200);
    CHECK(frames >= 2);
}

// Guards against an assertion where a single message can't be sent.
TEST_CASE("frame payload, message above the limit of a frame, is a typed error")
{
    std::deque<Message> queue;
    queue.emplace_back(ConfigurationStateReply{LogOffset(1), std::string(maxFrameBytes, 'x')});
    CHECK(std::get<WireFault>(takeFramePayload(queue)) == WireFault::Oversized);
}

// Guards against a recorded answer that is lost, cut or reordered when it exceeds a frame.
TEST_CASE("frame payload, answer above the limit of a frame, is split and arrives whole")
{
    std::string answer((17U << 20) + 1, 'x');
    answer += "data: [DONE]\n\n";
    std::deque<Message> queue;
    for (AnswerData &piece : splitIntoFrames(GrantId(7), answer))
        queue.emplace_back(std::move(piece));
    CHECK(std::get<AnswerData>(queue.back()).bytes.ends_with("data: [DONE]\n\n"));
    std::string received;
    while (!queue.empty()) {
        const auto payload = takeFramePayload(queue);
        REQUIRE(std::holds_alternative<std::string>(payload));
        const auto decoded = decodeMessages(std::get<std::string>(payload));
        for (const Message &message : std::get<std::vector<Message>>(decoded))
            received += std::get<AnswerData>(message).bytes;
    }
    CHECK(received == answer);
    CHECK(splitIntoFrames(GrantId(7), "").size() == 1);
}
