#pragma once

#include "core/Clock.h"
#include "wire/Messages.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovagecourse {

/// Maximum payload of a frame, in bytes; a larger one closes the link.
constexpr std::size_t maxFrameBytes = 16U << 20;
/// Maximum size of a datagram, in bytes; below the usual MTU, so that it is not fragmented.
constexpr std::size_t maxDatagramBytes = 1400;

/// Reason why a frame or datagram was rejected; its name is a counter label.
enum class WireFault : std::uint8_t {
    Truncated,
    Oversized,
    WrongVersion,
    WrongKey,
    Malformed,
    Replayed,
    TooOld,
    UnexpectedMessage,
    Count
};

/// Stable name of a fault, used in counter labels.
std::string_view toString(WireFault fault);

/// Random nonce that each side of a link sends in its preamble.
using LinkNonce = std::array<std::uint8_t, 16>;
/// HMAC-SHA256 authentication tag.
using HmacTag = std::array<std::uint8_t, 32>;

/// Creates a nonce with the cryptographic random generator.
LinkNonce makeNonce();

/// Computes and verifies HMAC-SHA256 tags with one key.
class Authenticator
{
public:
    explicit Authenticator(std::string_view key);
    ~Authenticator();
    Authenticator(Authenticator &&) noexcept;
    Authenticator &operator=(Authenticator &&) noexcept;

    /// Tag of the concatenated header and payload.
    HmacTag sign(std::string_view header, std::string_view payload) const;
    /// Compares the tags in constant time.
    bool verify(std::string_view header, std::string_view payload, const HmacTag &tag) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Derives the key of one link from the fleet's key and the nonces of both sides.
std::string deriveLinkKey(const Authenticator &fleetKey, const LinkNonce &connector,
                          const LinkNonce &acceptor);

/// Serialises messages, without framing and authentication.
std::string encodeMessages(const std::vector<Message> &messages);
/// Deserialises messages; returns WireFault::Malformed on invalid input.
std::variant<std::vector<Message>, WireFault> decodeMessages(std::string_view bytes);

/// Encodes the frames of one direction of a link as length, HMAC tag and payload. The tag also
/// covers the direction and the frame's sequence number, which are not sent, so that replayed,
/// reordered or reflected frames fail verification.
class FrameEncoder
{
public:
    FrameEncoder(const std::string &linkKey, bool fromConnector);

    /// Returns the next frame; the payload has at most maxFrameBytes.
    std::string encodeFrame(std::string_view payload);

private:
    Authenticator authenticator_;
    char direction_;
    std::uint64_t sequence_ = 0;
};

/// Splits the received bytes of one direction of a link into frames and verifies them. After a
/// fault, the link must be closed.
class FrameDecoder
{
public:
    FrameDecoder(const std::string &linkKey, bool fromConnector);

    /// Adds received bytes.
    void append(std::string_view bytes);
    /// Received bytes that are no whole frame yet.
    std::size_t pendingBytes() const { return buffer_.size() - consumed_; }
    /// Payload of the next frame; nullopt if more bytes are needed.
    std::variant<std::optional<std::string>, WireFault> nextPayload();

private:
    Authenticator authenticator_;
    char direction_;
    std::uint64_t sequence_ = 0;
    std::string buffer_;
    std::size_t consumed_ = 0;
};

/// Sender, sequence number and send time of a datagram, for the replay check.
struct DatagramHeader
{
    DaemonId sender;
    Incarnation incarnation;
    /// Increases with each datagram of the sender's incarnation.
    std::uint64_t sequence = 0;
    /// Send time in milliseconds since the Unix epoch.
    std::uint64_t wallTimeMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(sender, incarnation, sequence, wallTimeMs);
    }
};

/// Content of a datagram.
struct Datagram
{
    DatagramHeader header;
    Message message;
};

/// Encodes a datagram as protocol version, HMAC tag and payload. Does not check its size.
std::string encodeDatagram(const Authenticator &fleetKey, const Datagram &datagram);
/// Checks size, version and tag, and decodes a datagram. ReplayWindow does the replay check.
std::variant<Datagram, WireFault> decodeDatagram(const Authenticator &fleetKey,
                                                 std::string_view bytes);

} // namespace lovagecourse
