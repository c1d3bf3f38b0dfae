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

/// Settings of a router, read from its TOML file.
struct RouterSettings
{
    /// Path of the settings file.
    std::string file;
    DaemonId name;
    DataCentreId dataCentre;
    /// Secret shared by all routers; at least 16 bytes.
    std::string fleetKey;
    /// Base URL of the platform's store.
    std::string platformUrl;
    /// TCP address for callers.
    Endpoint callers;
    /// HTTP address for the platform's readiness probes.
    Endpoint ready;
    /// HTTP address for metrics and status.
    Endpoint admin;
    /// UDP address for reports between routers.
    Endpoint datagrams;
    /// Most sockets that the process may have open at the same time.
    unsigned maxSockets = 8192;
    /// Memory limit of the process in MB.
    unsigned maxMemoryMb = 512;
    /// Part of the memory for bodies and answers that one client address may take while another one
    /// is refused memory.
    unsigned addressMemoryPercent = 50;
    /// Processor share of the host in per mille of a core. Of the routers of a data centre, the one
    /// with the largest share relays their load to the other data centres.
    std::uint16_t processorPermille = 1000;
    LogLevel logLevel = LogLevel::Info;
    /// Fleet-wide retry limit of a service: per window, at most retryRatio retries per request plus
    /// retrySlack.
    double retryRatio = 0.1;
    double retrySlack = 10;
    seconds retryWindow{10};
    /// Hedged requests of a service as a share of its requests, 0 to 1; 0 turns them off. They
    /// count as retries, too.
    double hedgeShare = 0;
    /// Longest time from the write of a configuration change until it is in force.
    milliseconds maxConfigurationDelay{2000};
    /// Longest time from the write of a server's leaving mark until it gets no more requests.
    milliseconds maxLeavingDelay{2000};
    /// Time between two renewals of a server's registration.
    milliseconds renewalInterval{1200};
    /// Longest pause that a server's answer can ask for.
    milliseconds maxPause{60000};
    /// Time from SIGTERM until the platform kills the process.
    milliseconds shutdownLimit{8000};
    /// Time after SIGTERM in which the load balancer may still route new callers here: two failed
    /// readiness probes, one second apart, plus slack.
    milliseconds balancerGrace{2500};

    bool operator==(const RouterSettings &) const = default;
};

using RouterSettingsResult = std::variant<RouterSettings, std::vector<SettingsFault>>;

/// Reads and validates a settings file. Returns the settings, or all faults.
RouterSettingsResult readRouterSettings(const std::string &file);

} // namespace lovagecourse
