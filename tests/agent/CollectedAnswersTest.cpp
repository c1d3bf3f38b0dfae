#include "agent/CollectedAnswers.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against ending other requests for an answer without end.
TEST_CASE("collected answers, one outgrows the others, is the one that is dropped")
{
    CHECK(chooseAnswerToDrop({{100, true}, {900, true}, {200, false}}, 0, 10) == 1);
    CHECK(chooseAnswerToDrop({{100, true}, {900, true}, {200, false}}, 1, 10) == 1);
    // The growing one is the largest only with the part that has just arrived.
    CHECK(chooseAnswerToDrop({{900, true}, {910, true}}, 1, 10) == 1);
}

// Guards against ending a claimed request where one is as large that only loses its token count.
TEST_CASE("collected answers, equally large, drops the growing or an unclaimed one")
{
    CHECK(chooseAnswerToDrop({{900, true}, {900, true}}, 1, 10) == 1);
    CHECK(chooseAnswerToDrop({{900, true}, {900, false}}, 0, 10) == 1);
}

// Guards against ending all claimed requests, one after the other, when links or bodies take the
// memory.
TEST_CASE("collected answers, largest does not make room, drops only the growing one")
{
    CHECK(chooseAnswerToDrop({{900, true}, {800, true}, {100, true}}, 2, 1000) == 2);
}
