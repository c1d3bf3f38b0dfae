#include "core/Ascii.h"

namespace lovagecourse {

std::string toLower(std::string_view text)
{
    std::string lower(text);
    for (char &character : lower) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return lower;
}

bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const bool isLetter =
            (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isLetter || isDigit(character) || marks.find(character) != std::string_view::npos;
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace lovagecourse
