#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lovagecourse {

/// Finds the ends of the heads and bodies in the bytes that a client sends on one connection.
///
/// The HTTP library overwrites delimiters in its buffer, so that a line of NUL LF looks like CR LF
/// once a head is parsed. This class reads the bytes before that and accepts only lines that end
/// in CR LF and contain no other CR, LF or NUL. Bodies are skipped, not kept.
class RequestStream
{
public:
    /// Reads the next bytes of the connection. After a fault, further bytes are ignored.
    void receive(std::string_view bytes);
    /// Returns the size of the next head from its request line to its blank line; empty if no
    /// complete head without a fault has been received.
    std::optional<std::size_t> takeHead();
    /// Returns whether the body of the head taken last has been received without a fault.
    bool isBodyComplete() const;

private:
    enum class Part : std::uint8_t {
        Start,
        Head,
        Body,
        ChunkSize,
        ChunkData,
        ChunkEnd,
        Trailer,
        Fault
    };

    void skipData(std::string_view &bytes);
    bool takeLine(std::string_view &bytes);
    void endLine();
    void readFraming();
    void readChunkSize();
    void endHead();
    void endRequest();

    Part part_ = Part::Start;
    /// The line so far ends in CR.
    bool endsInCr_ = false;
    bool hasFraming_ = false;
    bool isChunked_ = false;
    /// First bytes of the current line, enough to read a length or a chunk size.
    std::string line_;
    /// Size of the current line with its end.
    std::size_t lineBytes_ = 0;
    std::size_t headBytes_ = 0;
    /// Of a body or a chunk, the bytes that are still to come.
    std::uint64_t remaining_ = 0;
    /// Sizes of the heads that were received but not taken; more than one if requests are
    /// pipelined.
    std::vector<std::uint32_t> heads_;
    std::uint64_t takenHeads_ = 0;
    std::uint64_t endedRequests_ = 0;
};

} // namespace lovagecourse
