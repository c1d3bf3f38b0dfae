#pragma once

#include "ExpectedAnswer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Compares a streamed answer (server-sent events) with the expected one while it arrives.
class AnswerCheck
{
public:
    AnswerCheck(std::string_view prompt, std::uint64_t tokenCount)
        : digest_(promptDigest(prompt))
        , tokenCount_(tokenCount)
    {}

    /// Appends bytes of the event stream; returns the number of token events completed by them.
    std::uint64_t append(std::string_view bytes)
    {
        buffer_.append(bytes);
        const std::uint64_t before = tokens_;
        std::size_t start = 0;
        std::size_t end = buffer_.find("\n\n");
        for (; end != std::string::npos; end = buffer_.find("\n\n", start)) {
            processEvent(std::string_view(buffer_).substr(start, end - start));
            start = end + 2;
        }
        buffer_.erase(0, start);
        return tokens_ - before;
    }

    /// True once an event differs from the expected one, exceeds the requested token count or
    /// follows the [DONE] event.
    bool isWrong() const { return wrong_; }
    /// True when exactly the expected tokens and the [DONE] event have arrived.
    bool isComplete() const
    {
        return !wrong_ && done_ && tokens_ == tokenCount_ && buffer_.empty();
    }
    /// Number of token events received so far.
    std::uint64_t tokens() const { return tokens_; }

private:
    void processEvent(std::string_view event)
    {
        constexpr std::string_view prefix = "data: ";
        if (done_ || !event.starts_with(prefix)) {
            wrong_ = true;
            return;
        }
        event.remove_prefix(prefix.size());
        if (event == "[DONE]") {
            done_ = true;
            return;
        }
        const auto json = nlohmann::json::parse(event, nullptr, false);
        const auto path = nlohmann::json::json_pointer("/choices/0/delta/content");
        const bool isToken = json.is_object() && json.contains(path) && json[path].is_string();
        const std::string expected = answerToken(digest_, tokens_);
        ++tokens_;
        if (!isToken || json[path].get_ref<const std::string &>() != expected
            || tokens_ > tokenCount_)
            wrong_ = true;
    }

    std::uint64_t digest_;
    std::uint64_t tokenCount_;
    std::string buffer_;
    std::uint64_t tokens_ = 0;
    bool wrong_ = false;
    bool done_ = false;
};

/// True if a non-streaming JSON answer has the expected text and token count.
inline bool isExpectedAnswer(std::string_view body, std::string_view prompt,
                             std::uint64_t tokenCount)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    const auto content = nlohmann::json::json_pointer("/choices/0/message/content");
    const auto count = nlohmann::json::json_pointer("/usage/completion_tokens");
    if (!json.is_object() || !json.contains(content) || !json.contains(count))
        return false;
    return json[content] == expectedAnswer(prompt, tokenCount) && json[count] == tokenCount;
}

} // namespace lovagecourse
