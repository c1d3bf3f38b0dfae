#pragma once

#include "placing/StreamOrigins.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecourse {

/// Formats origins as a record of the store: for each, 8 bytes of the attempt and 4 of the version,
/// big-endian.
std::string formatStreamOrigins(std::span<const StreamOrigin> origins);
/// Parses formatStreamOrigins()'s text; an incomplete origin at the end is left out.
std::vector<StreamOrigin> parseStreamOrigins(std::string_view text);

} // namespace lovagecourse
