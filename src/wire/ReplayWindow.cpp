#include "wire/ReplayWindow.h"

namespace lovagecourse {

namespace {

constexpr std::uint64_t windowBits = 64;
// Longer than clocks of hosts differ and datagrams travel; shorter than a restart takes to matter.
constexpr milliseconds maxAge{30000};

} // namespace

std::optional<WireFault> ReplayWindow::check(const DatagramHeader &header, WallTime now)
{
    const auto nowMs = static_cast<std::int64_t>(toEpochMilliseconds(now));
    const auto sentMs = static_cast<std::int64_t>(header.wallTimeMs);
    if (nowMs - sentMs > maxAge.count() || sentMs - nowMs > maxAge.count())
        return WireFault::TooOld;

    Sender &sender = senders_[header.sender];
    if (header.incarnation < sender.incarnation)
        return WireFault::Replayed;
    if (header.incarnation > sender.incarnation)
        sender = Sender{header.incarnation, 0, 0};
    if (header.sequence > sender.newest) {
        const std::uint64_t step = header.sequence - sender.newest;
        sender.seen = step >= windowBits ? 0 : sender.seen << step;
        sender.seen |= 1;
        sender.newest = header.sequence;
        return std::nullopt;
    }
    const std::uint64_t back = sender.newest - header.sequence;
    if (back >= windowBits)
        return WireFault::Replayed;
    const std::uint64_t bit = std::uint64_t{1} << back;
    if (sender.seen & bit)
        return WireFault::Replayed;
    sender.seen |= bit;
    return std::nullopt;
}

} // namespace lovagecourse
