#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lovagecourse {

/// Head of a request as the HTTP library has parsed it. All views but the target point into the
/// buffer in which the head was received; the library has overwritten the delimiters there.
struct RequestHead
{
    /// From the method to the end of the blank line.
    std::string_view bytes;
    std::string_view method;
    /// Copy from before the library decoded it in place.
    std::string_view target;
    std::string_view version;
    /// Names and values in order.
    std::vector<std::pair<std::string_view, std::string_view>> fields;
};

enum class HeadFault : std::uint8_t {
    /// Method or target with characters that are not allowed.
    RequestLine,
    /// A name that is no token, among them empty names and white space before the colon.
    Name,
    /// A control character in a value.
    Value,
    /// Bytes that belong to no part of the head: folded lines, bare CR or LF, NUL, lines without a
    /// name.
    Layout,
    /// A length that is repeated, no plain number, or given beside another framing.
    Framing,
    /// More than one host.
    Host
};

std::string_view toString(HeadFault fault);

/// Returns why a head must not be forwarded. Prevents request smuggling: another HTTP parser could
/// read such a head in another way, end the body elsewhere and parse the rest as a request.
std::optional<HeadFault> findFault(const RequestHead &head);

} // namespace lovagecourse
