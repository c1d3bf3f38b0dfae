#include "gateway/PressureDecision.h"

#include <catch2/catch.hpp>

using namespace lovagecourse;

// Guards against ending the body of a caller that is still sending while others stand still.
TEST_CASE("pressure decision, bodies with and without progress, ends the largest without")
{
    using Kind = HeldBytes::Kind;
    const std::vector<HeldBytes> held{{Kind::ArrivingBody, 4000, milliseconds(100)},
                                      {Kind::ArrivingBody, 1000, seconds(9)},
                                      {Kind::ArrivingBody, 2000, seconds(1)},
                                      {Kind::ArrivingBody, 2000, seconds(2)}};
    CHECK(chooseHeldBytesToEnd(held) == 3U);
}

// Guards against aborting an answer that its caller still reads.
TEST_CASE("pressure decision, answer that is read, is not ended")
{
    using Kind = HeldBytes::Kind;
    CHECK_FALSE(chooseHeldBytesToEnd({{Kind::UnreadAnswer, 4000, milliseconds(900)}}));
    CHECK(chooseHeldBytesToEnd({{Kind::UnreadAnswer, 4000, milliseconds(1100)}}) == 0U);
}

// Guards against reading what is rejected afterwards.
TEST_CASE("pressure decision, announced body, is judged before it is read")
{
    CHECK(decideBodyAdmission({4U << 20, 4U << 20, true}) == BodyAdmission::Read);
    CHECK(decideBodyAdmission({0, 4U << 20, true}) == BodyAdmission::Read);
    CHECK(decideBodyAdmission({(4U << 20) + 1, 4U << 20, false}) == BodyAdmission::TooLarge);
    CHECK(decideBodyAdmission({4U << 20, 4U << 20, false}) == BodyAdmission::NoMemory);
}
