#pragma once

#include <cstddef>
#include <vector>

namespace lovagecourse {

/// Answer that an agent collects, to record it or to read its token count.
struct CollectedAnswer
{
    /// With the part that has just arrived.
    std::size_t bytes = 0;
    /// The request ends if its answer is dropped, because the answer can't be recorded.
    bool isClaimed = false;
};

/// Chooses the answer that is dropped when the growing one finds no memory; missingBytes would have
/// to be free. Handles answers without end, which outgrow the others: the largest is dropped, of
/// equally large ones the growing one or one that is not claimed. If that does not make room, other
/// holders take the memory, and only the growing answer is dropped.
std::size_t chooseAnswerToDrop(const std::vector<CollectedAnswer> &answers, std::size_t growing,
                               std::size_t missingBytes);

} // namespace lovagecourse
