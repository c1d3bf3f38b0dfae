#pragma once

#include "core/Units.h"

#include <optional>
#include <string>

namespace lovagecourse {

/// Token count in a model's non-streaming answer; empty when it has none.
std::optional<Work> completionTokens(const std::string &body);

} // namespace lovagecourse
