#pragma once

#include "placing/StreamOrigins.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace lovagecourse {

/// What a router knows about a stream that a client takes up.
struct TakeUpInput
{
    /// Version that began the stream, if this router began it or has read of it.
    std::optional<VersionHash> origin;
    /// The only version that can have begun it.
    std::optional<VersionHash> soleVersion;
    /// What the other routers have told was read after the request arrived, or could not be read.
    bool isRecordRead = false;
};

enum class TakeUpAction : std::uint8_t {
    /// At servers of the version only.
    GoOn,
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
/// and a refused one costs its client all that it has received.
TakeUpDecision decideTakeUp(const TakeUpInput &input);

std::string_view toString(TakeUpAction action);

} // namespace lovagecourse
