#pragma once

#include "core/Ids.h"
#include "wire/Endpoint.h"

#include <optional>
#include <string>
#include <string_view>

namespace lovagecourse {

/// A router's record in the store, by which routers that start find it.
struct RouterRecord
{
    Endpoint datagramEndpoint;
    /// Empty in records of routers before data centres had relays.
    std::optional<DataCentreId> dataCentre;
};

/// Formats as "a.b.c.d:port data-centre".
std::string formatRouterRecord(const RouterRecord &record);
/// Parses formatRouterRecord()'s text, or an endpoint alone; nullopt if the endpoint is malformed.
std::optional<RouterRecord> parseRouterRecord(std::string_view text);

} // namespace lovagecourse
