#pragma once

#include "wire/Codec.h"

#include <optional>
#include <unordered_map>

namespace lovagecourse {

/// Refuses datagrams that are old, repeated or from an older run of their sender.
class ReplayWindow
{
public:
    /// Empty when the datagram is new; else why it is dropped.
    std::optional<WireFault> check(const DatagramHeader &header, WallTime now);

private:
    /// Newest sequence number of a sender and a bit for each of the 64 before it.
    struct Sender
    {
        Incarnation incarnation;
        std::uint64_t newest = 0;
        std::uint64_t seen = 0;
    };

    std::unordered_map<DaemonId, Sender> senders_;
};

} // namespace lovagecourse
