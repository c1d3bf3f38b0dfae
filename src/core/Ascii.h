#pragma once

#include <string>
#include <string_view>

namespace lovagecourse {

/// Returns the text with its ASCII letters in lower case, whatever the locale.
std::string toLower(std::string_view text);

/// Returns whether the character is an ASCII control character.
constexpr bool isControl(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return code < firstPrintable || code == deleteCharacter;
}

constexpr bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/// Returns whether the character may be part of a token of HTTP, such as the name of a header.
bool isTokenCharacter(char character);

/// Returns the text without the spaces and tabs at its ends.
std::string_view trim(std::string_view text);

} // namespace lovagecourse
