#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "wire/Endpoint.h"

#include <cstdint>

namespace lovagecourse {

/// Registration of a backend server.
struct ServerEntry
{
    ServerId id;
    ServiceId service;
    Endpoint address;
    DataCentreId dataCentre;
    SoftwareVersion version;
    /// Requests that the server runs concurrently; 0 when unknown.
    unsigned slots = 0;
    /// The server shuts down soon and must get no new requests.
    bool isDraining = false;
    /// Start time of the server in milliseconds since the epoch; a change means that it restarted
    /// under the same id with an empty prompt cache. 0 when unknown.
    std::uint64_t startedMs = 0;
    /// Time for which the server still warms up; 0 when it does not.
    milliseconds warmingLeft{0};

    bool operator==(const ServerEntry &) const = default;
};

} // namespace lovagecourse
