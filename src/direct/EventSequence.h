#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagecourse {

/// Order of the events of one stream, which several servers may write one after the other.
class EventSequence
{
public:
    /// Adds complete events. Returns the length of those that belong to the stream; it is shorter
    /// than all when one is the head of another answer or does not follow the one before it.
    /// mayContainCopies: a status line within a line, too, ends the sequence.
    std::size_t add(std::string_view events, bool mayContainCopies = false);
    /// The next event comes from another server, which goes on after the last id.
    void resume() { isResumed_ = true; }
    /// Id of the last event; empty while none had one.
    const std::string &lastId() const { return lastId_; }

private:
    bool follows(std::string_view id) const;
    void accept(std::string_view id);

    std::string lastId_;
    /// Value of lastId_ if it is a number.
    std::optional<std::uint64_t> lastNumber_;
    /// Difference of all ids so far; 0 if they differ, empty before the second id.
    std::optional<std::uint64_t> step_;
    bool isResumed_ = false;
};

} // namespace lovagecourse
