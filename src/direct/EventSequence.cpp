#include "direct/EventSequence.h"

#include "backend/EventStreamSplitter.h"
#include "direct/AnswerCopy.h"

#include <algorithm>
#include <charconv>

namespace lovagecourse {

namespace {

/// What the lines of one event say.
struct EventFields
{
    std::string_view id;
    /// Has a line other than a comment.
    bool hasFields = false;
    /// A line is the status line of an HTTP answer.
    bool hasStatusLine = false;
};

std::string_view fieldValue(std::string_view line, std::string_view name)
{
    std::string_view value = line.substr(name.size());
    while (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

EventFields parseEvent(std::string_view event)
{
    constexpr std::string_view idField = "id:";
    EventFields fields;
    while (!event.empty()) {
        // find_first_of() takes several times as long.
        const auto *const lineEnd = std::find_if(event.begin(), event.end(), [](char letter) {
            return letter == '\r' || letter == '\n';
        });
        const std::string_view line(event.begin(), lineEnd);
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (line.empty() || line.starts_with(':'))
            continue;
        fields.hasFields = true;
        fields.hasStatusLine = fields.hasStatusLine || line.starts_with("HTTP/1.");
        if (line.starts_with(idField))
            fields.id = fieldValue(line, idField);
    }
    return fields;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

std::size_t EventSequence::add(std::string_view events, bool mayContainCopies)
{
    std::size_t length = 0;
    while (length < events.size()) {
        const std::string_view rest = events.substr(length);
        const std::size_t next = firstEventLength(rest);
        const EventFields fields = parseEvent(rest.substr(0, next));
        const bool isCopy = mayContainCopies && containsStatusLine(rest.substr(0, next));
        if (isCopy || fields.hasStatusLine || (fields.hasFields && !follows(fields.id)))
            return length;
        if (!fields.id.empty())
            accept(fields.id);
        length += next;
    }
    return length;
}

bool EventSequence::follows(std::string_view id) const
{
    // Within one answer, events without an id may stand between others.
    if (id.empty())
        return !isResumed_ || lastId_.empty();
    const auto number = parseNumber(id);
    if (!number || !lastNumber_)
        return id != lastId_;
    const bool isGap = isResumed_ && step_.value_or(0) > 0 && *number != *lastNumber_ + *step_;
    return *number > *lastNumber_ && !isGap;
}

void EventSequence::accept(std::string_view id)
{
    const auto number = parseNumber(id);
    if (number && lastNumber_) {
        const std::uint64_t step = *number - *lastNumber_;
        step_ = step_.value_or(step) == step ? step : 0;
    }
    lastId_ = id;
    lastNumber_ = number;
    isResumed_ = false;
}

} // namespace lovagecourse
