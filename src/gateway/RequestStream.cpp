#include "gateway/RequestStream.h"

#include <strings.h>

#include <algorithm>
#include <charconv>

namespace lovagecourse {

namespace {

// Longer than any valid line of Content-Length or Transfer-Encoding with usual white space.
constexpr std::size_t keptLineBytes = 64;
// Memory for more pipelined heads is released, because many connections stay idle after them.
constexpr std::size_t keptHeads = 8;
constexpr std::string_view whiteSpace = " \t";

bool equalsIgnoringCase(std::string_view text, std::string_view expected)
{
    return text.size() == expected.size()
           && strncasecmp(text.data(), expected.data(), text.size()) == 0;
}

std::string_view trimmed(std::string_view text)
{
    text.remove_prefix(std::min(text.find_first_not_of(whiteSpace), text.size()));
    return text.substr(0, text.find_last_not_of(whiteSpace) + 1);
}

bool isLineDelimiter(char letter)
{
    return letter == '\r' || letter == '\n' || letter == '\0';
}

/// Returns the number in front of the text and removes it; empty if there is none or it is too
/// large.
std::optional<std::uint64_t> takeNumber(std::string_view &text, int base)
{
    // Larger numbers than any body need no more digits, and overflow.
    constexpr std::ptrdiff_t maxDigits = 15;
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (error != std::errc() || end - text.data() > maxDigits)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return number;
}

} // namespace

void RequestStream::receive(std::string_view bytes)
{
    while (!bytes.empty() && part_ != Part::Fault) {
        if (part_ == Part::Body || part_ == Part::ChunkData)
            skipData(bytes);
        else if (takeLine(bytes))
            endLine();
    }
}

std::optional<std::size_t> RequestStream::takeHead()
{
    if (heads_.empty())
        return std::nullopt;
    const std::size_t size = heads_.front();
    heads_.erase(heads_.begin());
    if (heads_.empty() && heads_.capacity() > keptHeads)
        std::vector<std::uint32_t>().swap(heads_);
    ++takenHeads_;
    return size;
}

bool RequestStream::isBodyComplete() const
{
    return takenHeads_ > 0 && endedRequests_ >= takenHeads_;
}

void RequestStream::skipData(std::string_view &bytes)
{
    const std::uint64_t count = std::min<std::uint64_t>(remaining_, bytes.size());
    bytes.remove_prefix(count);
    remaining_ -= count;
    if (remaining_ > 0)
        return;
    if (part_ == Part::Body)
        endRequest();
    else
        part_ = Part::ChunkEnd;
}

/// Moves bytes to the current line; returns whether it is complete.
bool RequestStream::takeLine(std::string_view &bytes)
{
    if (!endsInCr_) {
        const auto *end = std::find_if(bytes.begin(), bytes.end(), isLineDelimiter);
        const auto count = static_cast<std::size_t>(end - bytes.begin());
        line_.append(bytes.substr(0, std::min(count, keptLineBytes - line_.size())));
        lineBytes_ += count;
        bytes.remove_prefix(count);
        if (bytes.empty())
            return false;
    }
    const char expected = endsInCr_ ? '\n' : '\r';
    if (bytes.front() != expected) {
        part_ = Part::Fault;
        return false;
    }
    bytes.remove_prefix(1);
    ++lineBytes_;
    endsInCr_ = !endsInCr_;
    return !endsInCr_;
}

void RequestStream::endLine()
{
    const bool isBlank = line_.empty();
    switch (part_) {
    case Part::Start:
        // Blank lines before a request line are allowed and no part of the head.
        headBytes_ = lineBytes_;
        part_ = isBlank ? Part::Start : Part::Head;
        break;
    case Part::Head:
        headBytes_ += lineBytes_;
        if (isBlank)
            endHead();
        else
            readFraming();
        break;
    case Part::ChunkSize:
        readChunkSize();
        break;
    case Part::ChunkEnd:
        part_ = isBlank ? Part::ChunkSize : Part::Fault;
        break;
    case Part::Trailer:
        if (isBlank)
            endRequest();
        break;
    case Part::Body:
    case Part::ChunkData:
    case Part::Fault:
        break;
    }
    line_.clear();
    lineBytes_ = 0;
}

/// Reads the length of the body if the current line gives it. findFault() checks the line in full;
/// what differs from the library's reading here ends in a fault.
void RequestStream::readFraming()
{
    const std::string_view line = line_;
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    const bool isLength = equalsIgnoringCase(name, "content-length");
    if (!isLength && !equalsIgnoringCase(name, "transfer-encoding"))
        return;
    std::string_view value = trimmed(line.substr(std::min(colon + 1, line.size())));
    bool isValid = !hasFraming_ && line.size() < keptLineBytes;
    if (isLength) {
        const auto length = takeNumber(value, 10);
        isValid = isValid && length && value.empty();
        remaining_ = length.value_or(0);
    } else {
        isChunked_ = true;
        isValid = isValid && equalsIgnoringCase(value, "chunked");
    }
    hasFraming_ = true;
    if (!isValid)
        part_ = Part::Fault;
}

void RequestStream::readChunkSize()
{
    std::string_view line = line_;
    const auto size = takeNumber(line, 16);
    line = trimmed(line);
    if (!size || (!line.empty() && line.front() != ';')) {
        part_ = Part::Fault;
        return;
    }
    remaining_ = *size;
    part_ = remaining_ > 0 ? Part::ChunkData : Part::Trailer;
}

void RequestStream::endHead()
{
    heads_.push_back(static_cast<std::uint32_t>(headBytes_));
    if (isChunked_)
        part_ = Part::ChunkSize;
    else if (remaining_ > 0)
        part_ = Part::Body;
    else
        endRequest();
}

void RequestStream::endRequest()
{
    ++endedRequests_;
    hasFraming_ = false;
    isChunked_ = false;
    part_ = Part::Start;
}

} // namespace lovagecourse
