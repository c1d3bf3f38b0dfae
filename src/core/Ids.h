#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lovagecourse {

/// Identifier that can't be mixed up with one of another kind.
template <class Tag, class Value>
struct StrongId
{
    Value value{};

    StrongId() = default;
    explicit StrongId(Value initial)
        : value(std::move(initial))
    {}

    auto operator<=>(const StrongId &) const = default;

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(value);
    }

    friend std::ostream &operator<<(std::ostream &out, const StrongId &id)
    {
        return out << id.value;
    }
};

/// Client account, as named in the release notes.
using AccountId = StrongId<struct AccountTag, std::string>;
/// Service that callers use: a model endpoint or a plain service.
using ServiceId = StrongId<struct ServiceTag, std::string>;
/// Model that an engine serves; empty for plain services.
using ModelId = StrongId<struct ModelTag, std::string>;
/// Backend server, as named in the release notes.
using ServerId = StrongId<struct ServerTag, std::string>;
/// Host in the platform's host list.
using HostId = StrongId<struct HostTag, std::string>;
/// Data centre, from settings and release notes.
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/// Daemon of the fleet: an entry or an agent. Stays the same over restarts.
using DaemonId = StrongId<struct DaemonTag, std::string>;
/// One run of a daemon: microseconds since the epoch at its start, so that a newer run is greater.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Offer of one request by one entry; unique within the entry's incarnation.
using OfferId = StrongId<struct OfferTag, std::uint64_t>;
/// Grant by one agent; unique within the agent's incarnation.
using GrantId = StrongId<struct GrantTag, std::uint64_t>;
/// Position of a record in a stream of the platform's log.
using LogOffset = StrongId<struct LogOffsetTag, std::uint64_t>;
/// Log offset that orders the holders of a right; a greater one fences off smaller ones.
using FencingNumber = StrongId<struct FencingTag, std::uint64_t>;
/// Number of an accepted release note; 0 before the first.
using NoteNumber = StrongId<struct NoteTag, std::uint64_t>;
/// Idempotency key of a caller within its client account.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;
/// One attempt to claim an idempotency key.
using ClaimId = StrongId<struct ClaimTag, std::string>;
/// Hash of account, service and body of a request.
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;

} // namespace lovagecourse

template <class Tag, class Value>
struct std::hash<lovagecourse::StrongId<Tag, Value>>
{
    std::size_t operator()(const lovagecourse::StrongId<Tag, Value> &id) const noexcept
    {
        return std::hash<Value>{}(id.value);
    }
};
