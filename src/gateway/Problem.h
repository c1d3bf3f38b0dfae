#pragma once

#include "core/Refusal.h"

#include <string>

namespace lovagecourse {

/// Media type of problem documents (RFC 9457).
constexpr const char *problemMediaType = "application/problem+json";

/// Returns the problem document (RFC 9457) of a refusal, with the extension member "ran": "no",
/// "unknown" or "yes".
std::string makeProblemBody(const Refusal &refusal);

} // namespace lovagecourse
