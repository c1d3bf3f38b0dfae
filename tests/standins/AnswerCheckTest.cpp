#include "../../standins/AnswerCheck.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct AnswerCheckFixture
{
    static constexpr std::uint64_t tokenCount = 5;
    std::string prompt = "where is my parcel?";
    AnswerCheck check{prompt, tokenCount};

    std::string event(std::uint64_t index) const
    {
        const std::string token = answerToken(promptDigest(prompt), index);
        return R"(data: {"choices":[{"delta":{"content":")" + token + "\"}}]}\n\n";
    }

    std::string events(std::uint64_t first, std::uint64_t end) const
    {
        std::string text;
        for (std::uint64_t index = first; index < end; ++index)
            text += event(index);
        return text;
    }

    std::string nonStreamingAnswer(const std::string &content, std::uint64_t count) const
    {
        return R"({"choices":[{"message":{"content":")" + content
               + R"("}}],"usage":{"completion_tokens":)" + std::to_string(count) + "}}";
    }

    const std::string end = "data: [DONE]\n\n";
};

} // namespace

// Guards against expected tokens that change between builds: stand-ins and checks of different
// builds would disagree about correct answers.
TEST_CASE_METHOD(AnswerCheckFixture, "expected answer, known prompt, equals the recorded tokens")
{
    CHECK(expectedAnswer("hello", 2) == "wb475014e wa11b4533 ");
    CHECK(expectedAnswer("hello", 4, 2) == "w101bdc64 wb6194682 ");
    CHECK(expectedAnswer("hello", 2) != expectedAnswer("hello ", 2));
}

// Guards against a check whose result depends on how the network splits the stream.
TEST_CASE_METHOD(AnswerCheckFixture, "answer check, whole stream byte by byte, is whole")
{
    std::uint64_t tokens = 0;
    for (const char byte : events(0, tokenCount) + end)
        tokens += check.append(std::string_view(&byte, 1));
    CHECK(tokens == tokenCount);
    CHECK(check.isComplete());
    CHECK_FALSE(check.isWrong());
}

// Guards against a truncated answer that is accepted as complete.
TEST_CASE_METHOD(AnswerCheckFixture, "answer check, truncated streams, are never whole")
{
    const std::string stream = events(0, tokenCount) + end;
    for (std::size_t length = 0; length < stream.size(); ++length) {
        AnswerCheck truncated(prompt, tokenCount);
        truncated.append(stream.substr(0, length));
        CHECK_FALSE(truncated.isComplete());
        CHECK_FALSE(truncated.isWrong());
    }
    check.append(events(0, tokenCount - 1) + end);
    CHECK_FALSE(check.isComplete());
}

// Guards against undetected lost, repeated, reordered or surplus events and events of another
// answer.
TEST_CASE_METHOD(AnswerCheckFixture, "answer check, events out of place, is wrong")
{
    const auto isWrong = [this](const std::string &stream) {
        AnswerCheck altered(prompt, tokenCount);
        altered.append(stream);
        return altered.isWrong() && !altered.isComplete();
    };
    CHECK(isWrong(event(0) + event(0)));
    CHECK(isWrong(event(0) + event(2)));
    CHECK(isWrong(events(0, tokenCount + 1)));
    CHECK(isWrong(events(0, tokenCount) + end + end));
    CHECK(isWrong("data: {}\n\n"));
    CHECK(isWrong("event: x\n\n"));
    AnswerCheck other("another prompt", tokenCount);
    other.append(event(0));
    CHECK(other.isWrong());
}

// Guards against accepting a JSON answer to another prompt or with a wrong token count.
TEST_CASE_METHOD(AnswerCheckFixture,
                 "answer check, whole JSON answer, accepts only the expected one")
{
    const std::string text = expectedAnswer(prompt, tokenCount);
    CHECK(isExpectedAnswer(nonStreamingAnswer(text, tokenCount), prompt, tokenCount));
    CHECK_FALSE(isExpectedAnswer(nonStreamingAnswer(text, tokenCount), "other", tokenCount));
    CHECK_FALSE(isExpectedAnswer(nonStreamingAnswer(text, tokenCount - 1), prompt, tokenCount));
    CHECK_FALSE(isExpectedAnswer("{}", prompt, tokenCount));
    CHECK_FALSE(isExpectedAnswer("", prompt, tokenCount));
}
