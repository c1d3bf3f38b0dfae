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

/// Largest frame on a link, in bytes; larger ones close the link.
constexpr std::size_t maxFrameBytes = 16U << 20;
/// Largest datagram, in bytes; below the usual MTU, so that it is not fragmented.
constexpr std::size_t maxDatagramBytes = 1400;

/// Why a received frame or datagram was dropped; each is a counter.
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

std::string_view toString(WireFault fault);

/// Nonce that each side of a link sends first.
using LinkNonce = std::array<std::uint8_t, 16>;
/// HMAC-SHA256 tag.
using Tag = std::array<std::uint8_t, 32>;

/// Fresh nonce from the system's random source.
LinkNonce makeNonce();

/// Computes HMAC-SHA256 tags under one key.
class Authenticator
{
public:
    explicit Authenticator(std::string_view key);
    ~Authenticator();
    Authenticator(Authenticator &&) noexcept;
    Authenticator &operator=(Authenticator &&) noexcept;

    Tag sign(std::string_view header, std::string_view payload) const;
    /// Compares in constant time.
    bool verify(std::string_view header, std::string_view payload, const Tag &tag) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Key of one link, derived from the fleet's key and both nonces.
std::string deriveLinkKey(const Authenticator &fleetKey, const LinkNonce &connector,
                          const LinkNonce &acceptor);

/// Cereal form of messages, without authentication.
std::string encodeMessages(const std::vector<Message> &messages);
/// Messages of an encoded frame, or why it can't be read.
std::variant<std::vector<Message>, WireFault> decodeMessages(std::string_view bytes);

/// Seals and opens the frames of one direction of a link.
class FrameSealer
{
public:
    FrameSealer(const std::string &linkKey, bool fromConnector);

    /// Payload with its length, sequence number and tag.
    std::string seal(std::string_view payload);

private:
    Authenticator authenticator_;
    char direction_;
    std::uint64_t sequence_ = 0;
};

/// Takes received bytes and gives out authenticated payloads in order.
class FrameOpener
{
public:
    FrameOpener(const std::string &linkKey, bool fromConnector);

    void append(std::string_view bytes);
    /// Next payload; empty optional when more bytes are needed.
    std::variant<std::optional<std::string>, WireFault> next();

private:
    Authenticator authenticator_;
    char direction_;
    std::uint64_t sequence_ = 0;
    std::string buffer_;
    std::size_t consumed_ = 0;
};

/// Sender and order of a datagram.
struct DatagramHeader
{
    DaemonId sender;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t wallTimeMs = 0;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(sender, incarnation, sequence, wallTimeMs);
    }
};

/// Authenticated datagram with its sender.
struct Datagram
{
    DatagramHeader header;
    Message message;
};

/// Bytes of a datagram with version and tag.
std::string sealDatagram(const Authenticator &fleetKey, const Datagram &datagram);
/// Checks size, version and tag and reads a datagram; the replay check is ReplayWindow's.
std::variant<Datagram, WireFault> openDatagram(const Authenticator &fleetKey,
                                               std::string_view bytes);

} // namespace lovagecourse
