#pragma once

#include "core/Refusal.h"

#include <string>

namespace lovagecourse {

/// Media type of a refusal's body.
constexpr const char *problemMediaType = "application/problem+json";

/// Body of a refusal after RFC 9457, with the extra member "ran": "no", "unknown" or "yes".
std::string makeProblemBody(const Refusal &refusal);

} // namespace lovagecourse
