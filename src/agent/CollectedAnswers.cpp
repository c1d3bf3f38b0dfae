#include "agent/CollectedAnswers.h"

namespace lovagecourse {

std::size_t chooseAnswerToDrop(const std::vector<CollectedAnswer> &answers, std::size_t growing,
                               std::size_t missingBytes)
{
    std::size_t chosen = growing;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const CollectedAnswer &largest = answers[chosen];
        const bool isCheaper = largest.isClaimed && !answers[i].isClaimed;
        if (answers[i].bytes > largest.bytes || (answers[i].bytes == largest.bytes && isCheaper))
            chosen = i;
    }
    return answers[chosen].bytes >= missingBytes ? chosen : growing;
}

} // namespace lovagecourse
