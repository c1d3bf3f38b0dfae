#pragma once

#include "core/Ids.h"
#include "wire/Endpoint.h"

#include <cstdint>

namespace lovagecourse {

/// A backend server as it registered itself.
struct ServerEntry
{
    ServerId id;
    ServiceId service;
    Endpoint address;
    DataCentreId dataCentre;
    /// Requests that run side by side; 0 when unknown.
    unsigned slots = 0;
    /// It leaves soon and must get no new work.
    bool isDraining = false;
    /// Start of the server in milliseconds since the epoch; a change means that it restarted under
    /// its id and keeps nothing. 0 when it did not say.
    std::uint64_t startedMs = 0;

    bool operator==(const ServerEntry &) const = default;
};

} // namespace lovagecourse
