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

/// A record that can't be used; field is the first one that is missing or of a wrong type.
struct DecodeFault
{
    std::string field;
};

/// What a platform brings along: its names, formats and calls.
struct PlatformBinding
{
    std::unique_ptr<RequestCodec> requests;
    std::function<std::unique_ptr<FleetStore>(HttpClient &, const std::string &baseUrl)> openStore;
    std::function<std::variant<DirectConfiguration, DecodeFault>(std::string_view)>
            decodeConfiguration;
    std::function<std::variant<ServerEntry, DecodeFault>(const std::string &id, std::string_view)>
            decodeServer;
    /// Key of the newest configuration in its topic.
    std::string configurationKey;
    /// Path on which the platform asks whether a router is ready.
    std::string readyPath;
};

} // namespace lovagecourse
