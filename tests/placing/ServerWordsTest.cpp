#include "placing/ServerWords.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

namespace {

struct ServerWordsFixture
{
    ServerWords words;
    TimePoint now{std::chrono::hours(1)};

    Withheld reason(unsigned running = 0, bool isDraining = false) const
    {
        return withheldReason(isDraining, words, running, now);
    }
};

} // namespace

// Guards against requests to a server that has said in an answer that it leaves.
TEST_CASE_METHOD(ServerWordsFixture, "server words, leaving, holds whatever comes after it")
{
    CHECK(reason() == Withheld::No);
    words.leavingSince = now;
    onPauseHeard(words, milliseconds(10), now);
    now += std::chrono::hours(1);
    onAnswerHeard(words, now);
    CHECK(reason() == Withheld::Leaving);
    CHECK(reason(0, true) == Withheld::Draining);
}

// Guards against requests during a pause, and against a server that gets none after it.
TEST_CASE_METHOD(ServerWordsFixture, "server words, pause, ends by itself at its time")
{
    onPauseHeard(words, milliseconds(2000), now);
    now += milliseconds(1999);
    onAnswerHeard(words, now);
    CHECK(reason() == Withheld::Paused);
    now += milliseconds(1);
    CHECK(reason() == Withheld::No);
}

// Guards against a pause that is shortened or lengthened by an earlier one.
TEST_CASE_METHOD(ServerWordsFixture, "server words, second pause, replaces the first")
{
    onPauseHeard(words, milliseconds(2000), now);
    now += milliseconds(500);
    onPauseHeard(words, milliseconds(300), now);
    now += milliseconds(300);
    CHECK(reason() == Withheld::No);
    onPauseHeard(words, milliseconds(5000), now);
    now += milliseconds(4000);
    CHECK(reason() == Withheld::Paused);
}

// Guards against all waiting requests that reach a server at the end of its pause.
TEST_CASE_METHOD(ServerWordsFixture, "server words, pause over, few requests until an answer")
{
    onPauseHeard(words, milliseconds(2000), now);
    now += milliseconds(2000);
    CHECK(reason(maxProbesAfterPause - 1) == Withheld::No);
    CHECK(reason(maxProbesAfterPause) == Withheld::Probing);
    CHECK_FALSE(onAnswerHeard(words, now - milliseconds(1)));
    CHECK(reason(maxProbesAfterPause) == Withheld::Probing);
    onAnswerHeard(words, now);
    CHECK(reason(100) == Withheld::No);
}
