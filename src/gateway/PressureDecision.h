#pragma once

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lovagecourse {

/// Bytes that a caller's connection holds while memory is short.
struct HeldBytes
{
    enum class Kind : std::uint8_t { ArrivingBody, UnreadAnswer };

    Kind kind = Kind::ArrivingBody;
    std::size_t bytes = 0;
    /// Time since the caller sent or read a further progressStep, or since the begin.
    std::chrono::nanoseconds sinceProgress{0};
};

/// Fewer bytes than this are no progress, so that single bytes sent at intervals don't protect a
/// body. A caller of 32 KB/s makes progress in time.
constexpr std::size_t progressStep = 16U << 10;

/// Chooses what is ended when memory is short: of what makes no progress, the largest, and of
/// equally large ones the one without progress for longest. Handles many callers that stop just
/// short of the end of their bodies, or that don't read their answers, and stay connected. Returns
/// the index, or nothing if all make progress.
std::optional<std::size_t> chooseHeldBytesToEnd(const std::vector<HeldBytes> &held);

/// Decision on a body before it is read.
enum class BodyAdmission : std::uint8_t { Read, TooLarge, NoMemory };

struct BodyAdmissionInput
{
    /// As announced; 0 if unknown.
    std::size_t announcedBytes = 0;
    std::size_t maxBodyBytes = 0;
    /// The announced bytes fit into the memory that is free now.
    bool fits = true;
};

/// Handles large bodies that arrive at once or exceed the limit: what can't be kept is rejected
/// before it is read.
BodyAdmission decideBodyAdmission(const BodyAdmissionInput &input);

} // namespace lovagecourse
