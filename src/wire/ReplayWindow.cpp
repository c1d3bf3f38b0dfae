#include "wire/ReplayWindow.h"

namespace lovagecourse {

namespace {

constexpr std::uint64_t windowBits = 64;
// Exceeds the clock difference between hosts plus the network delay. A restart of the receiver
// clears the window; only datagrams up to this age could be replayed after it.
constexpr milliseconds maxAge{30000};

} // namespace

std::optional<WireFault> ReplayWindow::check(const DatagramHeader &header, WallTime now)
{
    const auto nowMs = static_cast<std::int64_t>(toEpochMilliseconds(now));
    const auto sentMs = static_cast<std::int64_t>(header.wallTimeMs);
    if (nowMs - sentMs > maxAge.count() || sentMs - nowMs > maxAge.count())
        return WireFault::TooOld;

    SenderState &sender = senders_[header.sender];
    if (header.incarnation < sender.incarnation)
        return WireFault::Replayed;
    if (header.incarnation > sender.incarnation)
        sender = SenderState{header.incarnation, 0, 0};
    if (header.sequence > sender.newestSequence) {
        const std::uint64_t step = header.sequence - sender.newestSequence;
        sender.receivedBits = step >= windowBits ? 0 : sender.receivedBits << step;
        sender.receivedBits |= 1;
        sender.newestSequence = header.sequence;
        return std::nullopt;
    }
    const std::uint64_t distance = sender.newestSequence - header.sequence;
    if (distance >= windowBits)
        return WireFault::Replayed;
    const std::uint64_t bit = std::uint64_t{1} << distance;
    if (sender.receivedBits & bit)
        return WireFault::Replayed;
    sender.receivedBits |= bit;
    return std::nullopt;
}

} // namespace lovagecourse
