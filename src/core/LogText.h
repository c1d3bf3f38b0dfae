#pragma once

#include "core/Ids.h"

#include <concepts>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

namespace lovagecourse {

/// Appends a number as operator<< writes it to a stream with default format. Streams take several
/// times as long, and a router writes about 45 values for each request.
void appendLogNumber(std::string &line, double value);
void appendLogNumber(std::string &line, std::int64_t value);
void appendLogNumber(std::string &line, std::uint64_t value);

template <class Value>
void appendLogText(std::string &line, const Value &value)
{
    if constexpr (std::is_same_v<Value, bool>)
        line += value ? '1' : '0';
    else if constexpr (std::is_convertible_v<const Value &, std::string_view>)
        line += std::string_view(value);
    else if constexpr (std::floating_point<Value>)
        appendLogNumber(line, static_cast<double>(value));
    else if constexpr (std::signed_integral<Value> && sizeof(Value) > 1)
        appendLogNumber(line, static_cast<std::int64_t>(value));
    else if constexpr (std::unsigned_integral<Value> && sizeof(Value) > 1)
        appendLogNumber(line, static_cast<std::uint64_t>(value));
    else
        line += (std::ostringstream() << value).str();
}

template <class Tag, class Value>
void appendLogText(std::string &line, const StrongId<Tag, Value> &id)
{
    appendLogText(line, id.value);
}

} // namespace lovagecourse
