#pragma once

#include "wire/Codec.h"

#include <optional>
#include <unordered_map>

namespace lovagecourse {

/// Detects datagrams whose send time differs from the current time by more than 30 s, that were
/// already received, or that are from an earlier incarnation of their sender. Reordered datagrams
/// are accepted within the 64 newest sequence numbers of a sender.
class ReplayWindow
{
public:
    /// Records a datagram and returns nullopt; if it must be dropped, returns the reason.
    std::optional<WireFault> check(const DatagramHeader &header, WallTime now);

private:
    /// Received sequence numbers of one sender.
    struct SenderState
    {
        Incarnation incarnation;
        std::uint64_t newestSequence = 0;
        /// Bit n is set if newestSequence - n was received.
        std::uint64_t receivedBits = 0;
    };

    std::unordered_map<DaemonId, SenderState> senders_;
};

} // namespace lovagecourse
