#include "placing/Admission.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace lovagecourse;

namespace {

struct AdmissionFixture
{
    AdmissionInput input;

    AdmissionFixture()
    {
        input.objectiveMs = 500;
        input.leftMs = 8000;
        input.standing = 1;
        input.firstByteMs = 100;
    }

    bool isAdmitted() const { return std::holds_alternative<Admitted>(decideAdmission(input)); }
    milliseconds retryAfter() const
    {
        return std::get<RefusedForNow>(decideAdmission(input)).retryAfter;
    }
};

} // namespace

// Guards against refusals while servers are free, whatever an account had.
TEST_CASE_METHOD(AdmissionFixture, "admission, servers idle and account far above share, admits")
{
    input.standing = 50;
    input.firstByteMs = 40;
    CHECK(isAdmitted());
}

// Guards against one account's flood that makes the others' answers late.
TEST_CASE_METHOD(AdmissionFixture, "admission, servers busy, refuses accounts above their share")
{
    input.waitMs = 150;
    input.firstByteMs = 250;
    input.standing = 3;
    CHECK_FALSE(isAdmitted());
    input.standing = 0.8;
    CHECK(isAdmitted());
}

// Guards against an account that finds a free server by asking often while the others wait.
TEST_CASE_METHOD(AdmissionFixture,
                 "admission, one free server of a busy service, refuses the greedy")
{
    input.waitMs = 0;
    input.meanWaitMs = 200;
    input.standing = 2.5;
    CHECK_FALSE(isAdmitted());
    input.standing = 0.9;
    CHECK(isAdmitted());
}

// Guards against requests that are accepted and answered late.
TEST_CASE_METHOD(AdmissionFixture, "admission, answer would be late, refuses with a time to return")
{
    input.waitMs = 900;
    input.firstByteMs = 1000;
    CHECK_FALSE(isAdmitted());
    CHECK(retryAfter() >= milliseconds(500));
    CHECK(retryAfter() <= milliseconds(2000));
}

// Guards against prompts so long that they are never in time and so would never be served.
TEST_CASE_METHOD(AdmissionFixture, "admission, very long prompt and short wait, admits")
{
    input.waitMs = 20;
    input.firstByteMs = 1800;
    CHECK(isAdmitted());
}

// Guards against a long prompt that can't be answered before its caller gives up.
TEST_CASE_METHOD(AdmissionFixture, "admission, no time left for the answer, refuses")
{
    input.waitMs = 20;
    input.firstByteMs = 1800;
    input.leftMs = 1000;
    CHECK_FALSE(isAdmitted());
}

// Replays a load of twice what one server reads, for ten seconds. Guards against the collapse in
// which everything is accepted and every answer is late.
TEST_CASE("admission, twice the load for ten seconds, admitted answers stay in time")
{
    constexpr double readMs = 20;
    constexpr double objectiveMs = 500;
    std::mt19937 random(11);
    std::exponential_distribution<double> gap(1 / (readMs / 2));
    double time = 0;
    double freeAt = 0;
    int admitted = 0;
    int late = 0;
    while (time < 10000) {
        time += gap(random);
        AdmissionInput input;
        input.waitMs = std::max(0., freeAt - time);
        input.firstByteMs = input.waitMs + readMs + 40;
        input.objectiveMs = objectiveMs;
        input.leftMs = 8000;
        input.standing = 1;
        if (!std::holds_alternative<Admitted>(decideAdmission(input)))
            continue;
        ++admitted;
        freeAt = std::max(freeAt, time) + readMs;
        late += freeAt + 40 - time > objectiveMs ? 1 : 0;
    }
    CHECK(late == 0);
    // The server is never idle under this load.
    CHECK(admitted * readMs > 0.97 * 10000);
}
