#include "claims/IdempotencyKeyCheck.h"

#include <cstddef>
#include <cstdint>

namespace lovagecourse {

namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::size_t versionPosition = 14;
constexpr std::size_t variantPosition = 19;
// The timestamp is the first 48 bits: 12 hexadecimal digits, before and after the first dash.
constexpr std::size_t timestampEnd = 13;
constexpr seconds maxClockSkew{60};

bool isDashPosition(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<unsigned> hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    if (digit >= 'a' && digit <= 'f')
        return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F')
        return digit - 'A' + 10;
    return std::nullopt;
}

bool isUuidVersion7(std::string_view text)
{
    if (text.size() != uuidLength)
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool good = isDashPosition(i) ? text[i] == '-' : hexDigit(text[i]).has_value();
        if (!good)
            return false;
    }
    const unsigned variant = *hexDigit(text[variantPosition]);
    return text[versionPosition] == '7' && (variant & 0xCU) == 0x8U;
}

} // namespace

std::optional<WallTime> uuidVersion7Time(std::string_view text)
{
    if (!isUuidVersion7(text))
        return std::nullopt;
    std::uint64_t timestampMs = 0;
    for (std::size_t i = 0; i < timestampEnd; ++i) {
        if (!isDashPosition(i))
            timestampMs = timestampMs << 4U | *hexDigit(text[i]);
    }
    // 48 bits of milliseconds exceed the range of a clock that counts nanoseconds.
    constexpr auto maxTimestamp =
            std::chrono::floor<milliseconds>(WallTime::max().time_since_epoch());
    if (timestampMs > static_cast<std::uint64_t>(maxTimestamp.count()))
        return WallTime::max();
    return WallTime(milliseconds(timestampMs));
}

std::optional<RefusalReason> checkIdempotencyKey(const IdempotencyKey &key, WallTime now,
                                                 seconds window)
{
    if (key.value.empty())
        return RefusalReason::IdempotencyKeyMissing;
    const std::optional<WallTime> time = uuidVersion7Time(key.value);
    if (!time || *time > now + maxClockSkew)
        return RefusalReason::IdempotencyKeyMalformed;
    if (*time < now - window)
        return RefusalReason::IdempotencyKeyTooOld;
    return std::nullopt;
}

} // namespace lovagecourse
