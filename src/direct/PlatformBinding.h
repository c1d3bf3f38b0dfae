#pragma once

#include "direct/ClientRequest.h"
#include "direct/DirectConfiguration.h"
#include "direct/FleetStore.h"
#include "direct/ServerEntry.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace lovagecourse {

class HttpClient;

/// Decoding error; field is the first one that is missing or has the wrong type.
struct DecodeFault
{
    std::string field;
};

/// Adapter to one platform: its header names, record formats and store calls.
struct PlatformBinding
{
    std::unique_ptr<RequestCodec> requests;
    std::function<std::unique_ptr<FleetStore>(HttpClient &, const std::string &baseUrl)> openStore;
    std::function<std::variant<DirectConfiguration, DecodeFault>(std::string_view)>
            decodeConfiguration;
    std::function<std::variant<ServerEntry, DecodeFault>(const std::string &id, std::string_view)>
            decodeServer;
    /// Key under which the configuration topic holds the current configuration.
    std::string configurationKey;
    /// Path of the platform's readiness check.
    std::string readyPath;
};

} // namespace lovagecourse
