#pragma once

#include "core/Clock.h"
#include "core/Ids.h"
#include "core/Log.h"
#include "gateway/HttpGateway.h"
#include "wire/Endpoint.h"
#include "wire/Messages.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace lovagecourse {

/// How an entry binds requests to servers. All but offers are baselines for measurements.
enum class RoutingPolicy : std::uint8_t { Offers, PushRandom, PushTwoChoices, LoadReport };
/// How an agent orders waiting offers. All but fleet are baselines for measurements.
enum class FairnessPolicy : std::uint8_t { Fleet, PerAgent, FirstComeFirstServed };

/// Settings of one daemon, from its TOML file.
struct DaemonSettings
{
    DaemonRole role = DaemonRole::Entry;
    DaemonId name;
    HostId host;
    DataCentreId dataCentre;
    /// Shared by all daemons; at least 16 bytes.
    std::string fleetKey;
    std::string platformUrl;
    /// Entry only: where callers connect.
    Endpoint callers;
    /// Status, metrics and health.
    Endpoint admin;
    /// Agent only: where entries connect.
    Endpoint links;
    /// UDP address of this daemon.
    Endpoint datagrams;
    /// Agent only: the backend server beside it.
    ServerId server;
    /// UDP addresses of some peers, to join through.
    std::vector<Endpoint> peers;
    /// Addresses to use in place of others, for sites behind address translation.
    std::map<Endpoint, Endpoint> via;
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::Text;
    GatewayLimits limits;
    /// How long an idempotency key is accepted; log retention must exceed it by 120 s.
    seconds keyWindow{86400};
    /// SIGTERM waits at most this long for running requests.
    seconds drainTimeout{600};
    RoutingPolicy routing = RoutingPolicy::Offers;
    FairnessPolicy fairness = FairnessPolicy::Fleet;
    /// False for the measurement baseline without cost classes.
    bool costClasses = true;
    /// False for the measurement baseline without hedged requests.
    bool hedging = true;
    /// Above 0 for the measurement baseline with a fixed concurrency limit.
    int fixedLimit = 0;
};

/// What is wrong with a settings file.
enum class SettingsFaultKind : std::uint8_t {
    Unreadable,
    Syntax,
    UnknownName,
    Missing,
    WrongType,
    OutOfRange,
    AddressInUse
};

/// One fault in a settings file; line and column count from 1, 0 when the place is the whole file.
struct SettingsFault
{
    SettingsFaultKind kind = SettingsFaultKind::Syntax;
    std::string file;
    unsigned line = 0;
    unsigned column = 0;
    /// Name of the setting, such as "limits.max_body_bytes".
    std::string setting;
    /// What was expected there.
    std::string expected;
};

/// "file:line:column: setting: expected ...".
std::string toString(const SettingsFault &fault);

using SettingsResult = std::variant<DaemonSettings, std::vector<SettingsFault>>;

/// Reads and checks a whole settings file; reports every fault found.
SettingsResult readSettings(const std::string &file, DaemonRole role);
/// Checks that the daemon's own addresses are free.
std::vector<SettingsFault> checkAddresses(const DaemonSettings &settings, const std::string &file);

} // namespace lovagecourse
