#include "http/ResponseHead.h"

#include "core/Ascii.h"

#include <algorithm>
#include <string>
#include <vector>

namespace lovagecourse {

namespace {

constexpr std::size_t maxHeadBytes = 128U << 10;
// Two strings here and in the decoded answer, and a list entry with a copy of the line in libcurl.
constexpr std::size_t lineOverheadBytes = 256;
constexpr int firstStatus = 100;
constexpr int switchingProtocols = 101;
constexpr int firstFinalStatus = 200;
constexpr int noContent = 204;
constexpr int lastStatus = 599;
constexpr std::string_view contentLength = "content-length";
constexpr std::string_view transferEncoding = "transfer-encoding";

bool isValueCharacter(char letter)
{
    return letter == '\t' || !isControl(letter);
}

bool isLength(std::string_view text)
{
    // Larger numbers than any body need no more digits, and overflow.
    constexpr std::size_t maxDigits = 18;
    return !text.empty() && text.size() <= maxDigits
           && std::all_of(text.begin(), text.end(), isDigit);
}

/// Appends the elements of a list to values.
void split(std::string_view list, std::vector<std::string_view> &values)
{
    for (std::size_t begin = 0; begin <= list.size();) {
        const std::size_t end = std::min(list.find(',', begin), list.size());
        values.push_back(trim(list.substr(begin, end - begin)));
        begin = end + 1;
    }
}

} // namespace

std::string_view toString(ResponseHeadFault fault)
{
    switch (fault) {
    case ResponseHeadFault::StatusLine:
        return "status-line";
    case ResponseHeadFault::Name:
        return "name";
    case ResponseHeadFault::Value:
        return "value";
    case ResponseHeadFault::LineEnd:
        return "line-end";
    case ResponseHeadFault::Framing:
        return "framing";
    case ResponseHeadFault::TooLong:
        return "too-long";
    case ResponseHeadFault::Unreadable:
        return "unreadable";
    }
    return {};
}

std::optional<ResponseHeadFault> ResponseHead::addLine(std::string_view line)
{
    bytes_ += line.size() + lineOverheadBytes;
    if (bytes_ > maxHeadBytes)
        return ResponseHeadFault::TooLong;
    if (isWhole_)
        return std::nullopt;
    const bool endsInLineFeed = line.ends_with('\n');
    const bool isBare = !line.ends_with("\r\n");
    if (!endsInLineFeed || (isInsideHead_ && isBare != hasBareLineFeeds_))
        return ResponseHeadFault::LineEnd;
    hasBareLineFeeds_ = isBare;
    isLenient_ = isLenient_ || isBare;
    line.remove_suffix(isBare ? 1 : 2);
    if (!isInsideHead_)
        return beginHead(line);
    return line.empty() ? endHead() : addField(line);
}

std::optional<ResponseHeadFault> ResponseHead::beginHead(std::string_view line)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr std::size_t statusBegin = version.size() + 2;
    constexpr std::size_t statusEnd = statusBegin + 3;
    headers_.clear();
    isInsideHead_ = true;
    const bool hasForm =
            line.size() >= statusEnd && line.starts_with(version)
            && (line[version.size()] == '0' || line[version.size()] == '1')
            && line[version.size() + 1] == ' '
            && std::all_of(line.begin() + statusBegin, line.begin() + statusEnd, isDigit)
            && (line.size() == statusEnd || line[statusEnd] == ' ')
            && std::all_of(line.begin(), line.end(), isValueCharacter);
    if (!hasForm)
        return ResponseHeadFault::StatusLine;
    isHttp10_ = line[version.size()] == '0';
    status_ = std::stoi(std::string(line.substr(statusBegin, statusEnd - statusBegin)));
    if (status_ < firstStatus || status_ > lastStatus || status_ == switchingProtocols)
        return ResponseHeadFault::StatusLine;
    return std::nullopt;
}

std::optional<ResponseHeadFault> ResponseHead::addField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    if (colon == std::string_view::npos || name.empty()
        || !std::all_of(name.begin(), name.end(), isTokenCharacter))
        return ResponseHeadFault::Name;
    const std::string_view value = trim(line.substr(colon + 1));
    if (!std::all_of(value.begin(), value.end(), isValueCharacter))
        return ResponseHeadFault::Value;
    headers_.emplace_back(toLower(name), value);
    return std::nullopt;
}

std::optional<ResponseHeadFault> ResponseHead::endHead()
{
    isInsideHead_ = false;
    const bool isInterim = status_ < firstFinalStatus;
    std::vector<std::string_view> lengths;
    std::size_t codings = 0;
    for (const auto &[name, value] : headers_) {
        if (name == contentLength) {
            split(value, lengths);
        } else if (name == transferEncoding) {
            ++codings;
            if (toLower(value) != "chunked" || isHttp10_)
                return ResponseHeadFault::Framing;
        }
    }
    const bool hasEqualLengths =
            std::all_of(lengths.begin(), lengths.end(), [&](std::string_view length) {
                return isLength(length) && length == lengths.front();
            });
    const bool hasNoBody = isInterim || status_ == noContent;
    if (!hasEqualLengths || codings > 1 || (codings > 0 && (hasNoBody || !lengths.empty())))
        return ResponseHeadFault::Framing;
    // libcurl would use the length of an interim head for an answer that has none.
    if (isInterim && !lengths.empty())
        return ResponseHeadFault::Framing;
    const bool namesBody = !lengths.empty() && lengths.front() != "0";
    isLenient_ = isLenient_ || lengths.size() > 1 || (hasNoBody && namesBody);
    isWhole_ = !isInterim;
    return std::nullopt;
}

} // namespace lovagecourse
