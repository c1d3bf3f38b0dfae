#pragma once

#include "placing/StreamOrigins.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lovagecourse {

/// What a router's list of servers says about the time before a take-up arrived.
enum class ServerListState : std::uint8_t {
    /// Nothing for sure: no read of it has begun since the request arrived.
    Unread,
    /// All that was registered before: a read that began after the request arrived was applied.
    Current,
    /// Nothing for sure, and such a read has failed or took too long.
    Unreadable,
};

/// What a router knows about a stream that a client takes up.
struct TakeUpInput
{
    /// Version that began the stream, if this router began it or has read of it.
    std::optional<VersionHash> origin;
    /// The only version that can have begun it, as far as the router's list of servers is current.
    std::optional<VersionHash> soleVersion;
    ServerListState list = ServerListState::Unread;
    /// What the other routers have told was read after the request arrived, or could not be read.
    bool isRecordRead = false;
};

enum class TakeUpAction : std::uint8_t {
    /// At servers of the version only.
    GoOn,
    /// Read the list of servers up to the present, then decide again.
    ReadServers,
    /// Read what the other routers have told, then decide again.
    ReadRecord,
    /// Nobody knows which version began the stream, and several can have done so.
    Refuse,
};

struct TakeUpDecision
{
    TakeUpAction action = TakeUpAction::Refuse;
    VersionHash version;
};

/// Load: servers of several software versions serve side by side while streams break off, because
/// servers crash or routers are killed. A stream must not go on at a version that did not begin it,
/// and a refused one costs its client all that it has received. A router may be out of step: cut
/// off, or standing still with or without its clock. The age of its list by its clock is no
/// evidence, but a read is: a server is registered before any router begins a stream there, and the
/// stream has begun before the request that takes it up arrives.
TakeUpDecision decideTakeUp(const TakeUpInput &input);

std::string_view toString(TakeUpAction action);
std::string_view toString(ServerListState list);

} // namespace lovagecourse
