#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lovagecourse {

/// Typed identifier; Tag keeps identifiers of different kinds apart.
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

/// Name of a client account in the release notes.
using AccountId = StrongId<struct AccountTag, std::string>;
/// Name of a service that callers request: a model endpoint or a plain service.
using ServiceId = StrongId<struct ServiceTag, std::string>;
/// Name of a model that an inference engine serves; empty for plain services.
using ModelId = StrongId<struct ModelTag, std::string>;
/// Name of a backend server in the release notes.
using ServerId = StrongId<struct ServerTag, std::string>;
/// Version of a backend server's software, not of its model's weights; empty when unknown.
using SoftwareVersion = StrongId<struct SoftwareVersionTag, std::string>;
/// Name of a host in the platform's host list.
using HostId = StrongId<struct HostTag, std::string>;
/// Name of a data centre in the settings and release notes.
using DataCentreId = StrongId<struct DataCentreTag, std::string>;
/// Name of a daemon of the fleet: an entry, an agent or a router. Unchanged by restarts.
using DaemonId = StrongId<struct DaemonTag, std::string>;
/// Incarnation of a daemon: its start time in microseconds since the Unix epoch, so that a later
/// one is greater.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
/// Offer of a request by an entry to an agent; unique within the entry's incarnation.
using OfferId = StrongId<struct OfferTag, std::uint64_t>;
/// Grant of an offer by an agent; unique within the agent's incarnation.
using GrantId = StrongId<struct GrantTag, std::uint64_t>;
/// Offset of a record in a stream of the platform's log.
using LogOffset = StrongId<struct LogOffsetTag, std::uint64_t>;
/// Counts how often the platform's store has come back from an older copy. Each time, the records
/// written since the copy are lost, and their offsets are given to other records.
using StoreEra = StrongId<struct StoreEraTag, std::uint64_t>;
/// Fencing token: the log offset of the record that granted a right. The holder with the greatest
/// number supersedes all others.
using FencingNumber = StrongId<struct FencingTag, std::uint64_t>;
/// Sequence number of an accepted release note; 0 before the first.
using NoteNumber = StrongId<struct NoteTag, std::uint64_t>;
/// Idempotency key of a request; chosen by the caller, scoped to the client account.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag, std::string>;
/// Attempt to claim an idempotency key.
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
