#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "core/Log.h"
#include "settings/DaemonSettings.h"
#include "wire/Endpoint.h"

#include <string>
#include <variant>
#include <vector>

namespace lovagecourse {

/// Settings of a router, from its TOML file.
struct RouterSettings
{
    /// Where they were read.
    std::string file;
    DaemonId name;
    DataCentreId dataCentre;
    /// Shared by all routers; at least 16 bytes.
    std::string fleetKey;
    /// Base URL of the platform's store.
    std::string platformUrl;
    /// Where callers connect.
    Endpoint callers;
    /// Where the platform asks whether the router is ready.
    Endpoint ready;
    /// Metrics and status.
    Endpoint admin;
    /// UDP address for reports between routers.
    Endpoint datagrams;
    /// Sockets that the process may have open at once.
    unsigned maxSockets = 8192;
    /// Memory in MB that the process may take.
    unsigned maxMemoryMb = 512;
    LogLevel logLevel = LogLevel::Info;
    /// Second sends of requests that the whole fleet may make to one service, per request and
    /// beyond that in each window.
    double repeatRatio = 0.1;
    double repeatSlack = 10;
    seconds repeatWindow{10};
    /// A change of the configuration must be in force this long after it was written.
    milliseconds configurationBound{2000};
    /// A server that says it leaves must get no request this long after it was written.
    milliseconds leavingBound{2000};
    /// The platform kills the process this long after SIGTERM.
    milliseconds shutdownLimit{8000};
    /// Time after SIGTERM in which the platform may still send callers: two unanswered questions,
    /// a second apart, and some slack.
    milliseconds balancerGrace{2500};

    bool operator==(const RouterSettings &) const = default;
};

using RouterSettingsResult = std::variant<RouterSettings, std::vector<SettingsFault>>;

/// Reads and checks a whole settings file; reports every fault found.
RouterSettingsResult readRouterSettings(const std::string &file);

} // namespace lovagecourse
