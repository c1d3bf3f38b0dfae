#include "core/LogText.h"

#include <array>
#include <cassert>
#include <charconv>

namespace lovagecourse {

namespace {

// Holds any 64-bit integer, and any double with six significant digits.
constexpr std::size_t maxNumberBytes = 32;
// Precision of a stream with default format.
constexpr int significantDigits = 6;

template <class... Format>
void append(std::string &line, Format... format)
{
    std::array<char, maxNumberBytes> text;
    const auto [end, error] = std::to_chars(text.data(), text.data() + text.size(), format...);
    assert(error == std::errc());
    line.append(text.data(), end);
}

} // namespace

void appendLogNumber(std::string &line, double value)
{
    append(line, value, std::chars_format::general, significantDigits);
}

void appendLogNumber(std::string &line, std::int64_t value)
{
    append(line, value);
}

void appendLogNumber(std::string &line, std::uint64_t value)
{
    append(line, value);
}

} // namespace lovagecourse
