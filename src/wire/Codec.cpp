#include "wire/Codec.h"

#include "wire/MessageArchive.h"

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <openssl/rand.h>

#include <cassert>
#include <cstring>

namespace lovagecourse {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t versionBytes = 2;
// Consumed bytes are erased from the buffer above this size; below it, they stay to avoid moving
// the rest for each frame.
constexpr std::size_t compactThreshold = 64U << 10;
// A buffer above this size is freed as soon as its frame is consumed.
constexpr std::size_t largeFrameBytes = 4 * compactThreshold;

constexpr std::array<std::string_view, static_cast<std::size_t>(WireFault::Count)> faultNames{
        "truncated", "oversized", "wrong-version", "wrong-key",
        "malformed", "replayed",  "too-old",       "unexpected-message"};

template <class Integer>
std::string toBytes(Integer value)
{
    std::string bytes(sizeof(Integer), '\0');
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        bytes[i] = static_cast<char>(value >> (8 * i));
    return bytes;
}

template <class Integer>
Integer fromBytes(std::string_view bytes)
{
    assert(bytes.size() >= sizeof(Integer));
    Integer value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        value |= static_cast<Integer>(static_cast<std::uint8_t>(bytes[i])) << (8 * i);
    return value;
}

std::string_view asView(const LinkNonce &nonce)
{
    return {reinterpret_cast<const char *>(nonce.data()), nonce.size()};
}

HmacTag tagFrom(std::string_view bytes)
{
    HmacTag tag{};
    std::memcpy(tag.data(), bytes.data(), tag.size());
    return tag;
}

std::string_view asView(const HmacTag &tag)
{
    return {reinterpret_cast<const char *>(tag.data()), tag.size()};
}

template <class Value>
std::string encode(const Value &value)
{
    MessageOutputArchive archive;
    archive(value);
    return archive.take();
}

template <class Value>
std::variant<Value, WireFault> decode(std::string_view bytes)
{
    // cereal throws on malformed input; no exception leaves the codec.
    try {
        MessageInputArchive archive(bytes);
        Value value;
        archive(value);
        if (!archive.isAtEnd())
            return WireFault::Malformed;
        return value;
    } catch (const std::exception &) {
        return WireFault::Malformed;
    }
}

} // namespace

std::string_view toString(WireFault fault)
{
    return faultNames[static_cast<std::size_t>(fault)];
}

LinkNonce makeNonce()
{
    LinkNonce nonce{};
    const int done = RAND_bytes(nonce.data(), static_cast<int>(nonce.size()));
    assert(done == 1);
    static_cast<void>(done);
    return nonce;
}

struct Authenticator::Impl
{
    EVP_MAC *mac = nullptr;
    EVP_MAC_CTX *context = nullptr;

    ~Impl()
    {
        EVP_MAC_CTX_free(context);
        EVP_MAC_free(mac);
    }
};

Authenticator::Authenticator(std::string_view key)
    : impl_(std::make_unique<Impl>())
{
    impl_->mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    impl_->context = EVP_MAC_CTX_new(impl_->mac);
    std::string digest = "SHA256";
    const std::array<OSSL_PARAM, 2> params{
            OSSL_PARAM_construct_utf8_string("digest", digest.data(), 0),
            OSSL_PARAM_construct_end()};
    const int done =
            EVP_MAC_init(impl_->context, reinterpret_cast<const unsigned char *>(key.data()),
                         key.size(), params.data());
    assert(done == 1);
    static_cast<void>(done);
}

Authenticator::~Authenticator() = default;
Authenticator::Authenticator(Authenticator &&) noexcept = default;
Authenticator &Authenticator::operator=(Authenticator &&) noexcept = default;

HmacTag Authenticator::sign(std::string_view header, std::string_view payload) const
{
    HmacTag tag{};
    std::size_t length = 0;
    // A null key reuses the key that the constructor set.
    EVP_MAC_init(impl_->context, nullptr, 0, nullptr);
    EVP_MAC_update(impl_->context, reinterpret_cast<const unsigned char *>(header.data()),
                   header.size());
    EVP_MAC_update(impl_->context, reinterpret_cast<const unsigned char *>(payload.data()),
                   payload.size());
    EVP_MAC_final(impl_->context, tag.data(), &length, tag.size());
    assert(length == tag.size());
    return tag;
}

bool Authenticator::verify(std::string_view header, std::string_view payload,
                           const HmacTag &tag) const
{
    const HmacTag expected = sign(header, payload);
    return CRYPTO_memcmp(expected.data(), tag.data(), tag.size()) == 0;
}

std::string deriveLinkKey(const Authenticator &fleetKey, const LinkNonce &connector,
                          const LinkNonce &acceptor)
{
    const HmacTag key = fleetKey.sign(asView(connector), asView(acceptor));
    return std::string(asView(key));
}

std::string encodeMessages(const std::vector<Message> &messages)
{
    return encode(messages);
}

std::variant<std::vector<Message>, WireFault> decodeMessages(std::string_view bytes)
{
    return decode<std::vector<Message>>(bytes);
}

FrameEncoder::FrameEncoder(const std::string &linkKey, bool fromConnector)
    : authenticator_(linkKey)
    , direction_(fromConnector ? 'c' : 'a')
{}

std::string FrameEncoder::encodeFrame(std::string_view payload)
{
    assert(payload.size() <= maxFrameBytes);
    const std::string header = direction_ + toBytes(sequence_++);
    const HmacTag tag = authenticator_.sign(header, payload);
    std::string frame = toBytes(static_cast<std::uint32_t>(payload.size()));
    frame.reserve(frame.size() + tag.size() + payload.size());
    frame.append(asView(tag));
    frame.append(payload);
    return frame;
}

FrameDecoder::FrameDecoder(const std::string &linkKey, bool fromConnector)
    : authenticator_(linkKey)
    , direction_(fromConnector ? 'c' : 'a')
{}

void FrameDecoder::append(std::string_view bytes)
{
    if (consumed_ == buffer_.size() || consumed_ > compactThreshold) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
        // A large frame must not keep its memory for as long as its link is open.
        if (buffer_.empty() && buffer_.capacity() > largeFrameBytes)
            std::string().swap(buffer_);
    }
    buffer_.append(bytes);
    if (buffer_.size() - consumed_ < lengthBytes)
        return;
    // Growth by doubling would take up to twice the memory of a large frame.
    const std::size_t length =
            fromBytes<std::uint32_t>(std::string_view(buffer_).substr(consumed_));
    if (length > compactThreshold && length <= maxFrameBytes)
        buffer_.reserve(consumed_ + lengthBytes + sizeof(HmacTag) + length);
}

std::variant<std::optional<std::string>, WireFault> FrameDecoder::nextPayload()
{
    const std::string_view remaining = std::string_view(buffer_).substr(consumed_);
    if (remaining.size() < lengthBytes)
        return std::optional<std::string>();
    const std::size_t length = fromBytes<std::uint32_t>(remaining);
    if (length > maxFrameBytes)
        return WireFault::Oversized;
    const std::size_t overhead = lengthBytes + sizeof(HmacTag);
    if (remaining.size() < overhead + length)
        return std::optional<std::string>();
    const std::string_view payload = remaining.substr(overhead, length);
    const std::string header = direction_ + toBytes(sequence_);
    if (!authenticator_.verify(header, payload, tagFrom(remaining.substr(lengthBytes))))
        return WireFault::WrongKey;
    ++sequence_;
    std::optional<std::string> result(payload);
    consumed_ += overhead + length;
    // The receiver is about to copy a large payload again and may keep it.
    if (consumed_ > largeFrameBytes) {
        std::string(buffer_, consumed_).swap(buffer_);
        consumed_ = 0;
    }
    return result;
}

std::string encodeDatagram(const Authenticator &fleetKey, const Datagram &datagram)
{
    const std::string version = toBytes(wireVersion);
    const std::string payload = encode(std::make_pair(datagram.header, datagram.message));
    const HmacTag tag = fleetKey.sign(version, payload);
    return version + std::string(asView(tag)) + payload;
}

std::variant<Datagram, WireFault> decodeDatagram(const Authenticator &fleetKey,
                                                 std::string_view bytes)
{
    if (bytes.size() > maxDatagramBytes)
        return WireFault::Oversized;
    if (bytes.size() < versionBytes + sizeof(HmacTag))
        return WireFault::Truncated;
    const std::string_view version = bytes.substr(0, versionBytes);
    if (fromBytes<std::uint16_t>(version) != wireVersion)
        return WireFault::WrongVersion;
    const std::string_view payload = bytes.substr(versionBytes + sizeof(HmacTag));
    if (!fleetKey.verify(version, payload, tagFrom(bytes.substr(versionBytes))))
        return WireFault::WrongKey;
    auto decoded = decode<std::pair<DatagramHeader, Message>>(payload);
    if (const auto *fault = std::get_if<WireFault>(&decoded))
        return *fault;
    auto &[header, message] = std::get<0>(decoded);
    return Datagram{std::move(header), std::move(message)};
}

} // namespace lovagecourse
