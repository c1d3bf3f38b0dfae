#include "placing/StopAcceptance.h"

namespace lovagecourse {

namespace {

// A stream that takes longer than this part of its limit is late for its caller anyway.
constexpr double streamLimitShare = 0.5;

} // namespace

bool isAcceptedBeforeExit(bool isStream, milliseconds limit, std::chrono::nanoseconds left)
{
    return limit * (isStream ? streamLimitShare : 1) <= left;
}

} // namespace lovagecourse
