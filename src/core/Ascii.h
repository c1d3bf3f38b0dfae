#pragma once

#include <string>
#include <string_view>

namespace lovagecourse {

/// Returns the text with its ASCII letters in lower case, whatever the locale.
std::string toLower(std::string_view text);

/// Returns whether the character is an ASCII control character.
bool isControl(char character);

} // namespace lovagecourse
