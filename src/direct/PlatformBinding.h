#pragma once

#include "direct/ClientRequest.h"
#include "direct/DirectConfiguration.h"
#include "direct/ServerEntry.h"
#include "store/FleetStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace lovagecourse {

class HttpClient;

/// Decoding error: a field that is missing or has an invalid value.
struct DecodeFault
{
    /// Name of the field; "document" if the whole document can't be decoded.
    std::string field;
    /// Path of the field, such as "routes[3].service"; empty for the whole document.
    std::string path;
    /// Describes a valid value.
    std::string expected;
};

/// Adapter to one platform: its header names, record formats and store calls.
struct PlatformBinding
{
    std::unique_ptr<RequestCodec> requests;
    std::function<std::unique_ptr<FleetStore>(HttpClient &, const std::string &baseUrl,
                                              std::shared_ptr<StoreEras>)>
            openStore;
    std::function<std::variant<DirectConfiguration, DecodeFault>(std::string_view)>
            decodeConfiguration;
    std::function<std::variant<ServerEntry, DecodeFault>(const std::string &id, std::string_view)>
            decodeServer;
    /// Key under which the configuration topic holds the current configuration.
    std::string configurationKey;
    /// Returns the data centre that a record with this key of the configuration topic evacuates;
    /// empty for other keys.
    std::function<std::optional<DataCentreId>(std::string_view key)> evacuatedDataCentre =
            [](std::string_view) { return std::nullopt; };
    /// Path of the platform's readiness check.
    std::string readyPath;
};

} // namespace lovagecourse
