#pragma once

#include <cereal/cereal.hpp>

#include <bit>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>

namespace lovagecourse {

static_assert(std::endian::native == std::endian::little, "the wire format is little-endian");

/// The input ends early, or declares a size that exceeds it. Thrown through cereal and caught by
/// the codec.
class ArchiveUnderflow : public std::runtime_error
{
public:
    ArchiveUnderflow()
        : std::runtime_error("unexpected end of message")
    {}
};

/// Cereal archive that writes to a string.
class MessageOutputArchive : public cereal::OutputArchive<MessageOutputArchive>
{
public:
    MessageOutputArchive()
        : OutputArchive(this)
    {}

    void saveBinary(const void *data, std::size_t size)
    {
        bytes_.append(static_cast<const char *>(data), size);
    }
    std::string take() { return std::move(bytes_); }

private:
    std::string bytes_;
};

/// Cereal archive that reads from memory. A container size that exceeds the remaining bytes is
/// rejected before anything is allocated; cereal's own archives allocate any size that the input
/// declares.
class MessageInputArchive : public cereal::InputArchive<MessageInputArchive>
{
public:
    explicit MessageInputArchive(std::string_view bytes)
        : InputArchive(this)
        , remaining_(bytes)
    {}

    /// Inlined, so that the size of a number is known: a report has up to 300 of them.
    [[gnu::always_inline]] void loadBinary(void *data, std::size_t size)
    {
        if (size > remaining_.size()) [[unlikely]]
            throwUnderflow();
        std::memcpy(data, remaining_.data(), size);
        remaining_.remove_prefix(size);
    }
    /// Throws if fewer bytes remain.
    void checkSize(std::size_t size) const
    {
        if (size > remaining_.size())
            throw ArchiveUnderflow();
    }
    bool isAtEnd() const { return remaining_.empty(); }

private:
    /// Not inlined, because the construction of the exception is larger than the copy.
    [[noreturn, gnu::noinline]] static void throwUnderflow() { throw ArchiveUnderflow(); }

    std::string_view remaining_;
};

template <class Value>
requires std::is_arithmetic_v<Value>
void CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive &archive, const Value &value)
{
    archive.saveBinary(&value, sizeof(value));
}

template <class Value>
requires std::is_arithmetic_v<Value>
void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive &archive, Value &value)
{
    if constexpr (std::is_same_v<Value, bool>) {
        std::uint8_t byte = 0;
        archive.loadBinary(&byte, sizeof(byte));
        value = byte != 0;
    } else {
        archive.loadBinary(&value, sizeof(value));
    }
}

template <class Archive, class Value>
requires std::is_same_v<Archive, MessageOutputArchive> || std::is_same_v<Archive,
                                                                         MessageInputArchive>
void CEREAL_SERIALIZE_FUNCTION_NAME(Archive &archive, cereal::NameValuePair<Value> &pair)
{
    archive(pair.value);
}

template <class Size>
void CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive &archive, const cereal::SizeTag<Size> &tag)
{
    const auto size = static_cast<std::uint32_t>(tag.size);
    archive.saveBinary(&size, sizeof(size));
}

template <class Size>
void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive &archive, cereal::SizeTag<Size> &tag)
{
    std::uint32_t size = 0;
    archive.loadBinary(&size, sizeof(size));
    // Each element occupies at least one byte.
    archive.checkSize(size);
    tag.size = size;
}

template <class Data>
void CEREAL_SAVE_FUNCTION_NAME(MessageOutputArchive &archive,
                               const cereal::BinaryData<Data> &binary)
{
    archive.saveBinary(binary.data, static_cast<std::size_t>(binary.size));
}

template <class Data>
void CEREAL_LOAD_FUNCTION_NAME(MessageInputArchive &archive, cereal::BinaryData<Data> &binary)
{
    archive.loadBinary(binary.data, static_cast<std::size_t>(binary.size));
}

} // namespace lovagecourse

CEREAL_SETUP_ARCHIVE_TRAITS(lovagecourse::MessageInputArchive, lovagecourse::MessageOutputArchive)
