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

bool isControl(char character)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    const auto code = static_cast<unsigned char>(character);
    return code < firstPrintable || code == deleteCharacter;
}

} // namespace lovagecourse
