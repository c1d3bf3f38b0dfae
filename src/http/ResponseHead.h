#pragma once

#include "wire/Messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lovagecourse {

/// Why a server's head is not used.
enum class ResponseHeadFault : std::uint8_t {
    /// No "HTTP/1.0" or "HTTP/1.1" with a status from 100 to 599, or an upgrade (101) that was not
    /// requested.
    StatusLine,
    /// A name that is no token: also folded lines and lines without a colon.
    Name,
    /// A control character in a value, such as NUL or a bare CR.
    Value,
    /// Lines that end in CR LF and lines that end in a bare LF in one head.
    LineEnd,
    /// A length that is no plain number, differs from another one, or is given beside another
    /// framing; a transfer coding other than "chunked".
    Framing,
    TooLong,
    /// libcurl could not parse it.
    Unreadable
};

std::string_view toString(ResponseHeadFault fault);

/// Reads the heads of one answer line by line, interim heads before the final one. Prevents
/// response splitting: where two parsers could find different headers or another end of the body,
/// the head is faulty, so that bytes of one answer don't become another answer or its stamp.
class ResponseHead
{
public:
    /// Takes the next line with its line end. Lines after the final head are trailers, which are
    /// ignored.
    std::optional<ResponseHeadFault> addLine(std::string_view line);

    /// The blank line of the final head has been read.
    bool isWhole() const { return isWhole_; }
    int status() const { return status_; }
    /// Memory that all heads so far take, here and in libcurl.
    std::size_t bytes() const { return bytes_; }
    /// Of the last head; names in lower case.
    const HeaderList &headers() const { return headers_; }
    /// The head has only one reading, but stricter parsers reject it; nothing else is read from its
    /// connection.
    bool isLenient() const { return isLenient_; }

private:
    std::optional<ResponseHeadFault> beginHead(std::string_view line);
    std::optional<ResponseHeadFault> addField(std::string_view line);
    std::optional<ResponseHeadFault> endHead();

    int status_ = 0;
    bool isHttp10_ = false;
    bool hasBareLineFeeds_ = false;
    bool isInsideHead_ = false;
    bool isWhole_ = false;
    bool isLenient_ = false;
    /// Of all heads and trailers so far: interim heads may follow each other without end.
    std::size_t bytes_ = 0;
    HeaderList headers_;
};

} // namespace lovagecourse
