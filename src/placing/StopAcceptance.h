#pragma once

#include "core/Clock.h"

namespace lovagecourse {

/// Decides whether a router that shuts down still accepts a request, so that it is not cut off at
/// the exit. isStream: its answer is a stream, which ends well before its limit as a rule; other
/// answers may take all of it. limit: time that the request may take; left: time until the exit.
bool isAcceptedBeforeExit(bool isStream, milliseconds limit, std::chrono::nanoseconds left);

} // namespace lovagecourse
