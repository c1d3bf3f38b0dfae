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

/// How an entry assigns requests to servers. All but Offers are baselines for benchmarks.
enum class RoutingPolicy : std::uint8_t { Offers, PushRandom, PushTwoChoices, LoadReport };
/// How an agent orders queued offers. All but Fleet are baselines for benchmarks.
enum class FairnessPolicy : std::uint8_t { Fleet, PerAgent, FirstComeFirstServed };

/// Settings of an entry or agent, read from its TOML file.
struct DaemonSettings
{
    DaemonRole role = DaemonRole::Entry;
    DaemonId name;
    HostId host;
    DataCentreId dataCentre;
    /// Secret shared by all daemons of the fleet; at least 16 bytes.
    std::string fleetKey;
    /// Base URL of the platform.
    std::string platformUrl;
    /// Entry only: TCP address for callers.
    Endpoint callers;
    /// HTTP address for status, metrics and health checks.
    Endpoint admin;
    /// Agent only: TCP address for the links of entries.
    Endpoint links;
    /// UDP address for messages between daemons. At the same TCP address peers fetch the
    /// configuration state.
    Endpoint datagrams;
    /// Agent only: backend server that the agent fronts.
    ServerId server;
    /// UDP addresses of the peers that the daemon contacts first to join the fleet.
    std::vector<Endpoint> peers;
    /// Maps published addresses to those that this daemon must use, for sites behind NAT.
    std::map<Endpoint, Endpoint> addressTranslations;
    LogLevel logLevel = LogLevel::Info;
    LogFormat logFormat = LogFormat::Text;
    GatewayLimits limits;
    /// Memory that the process may use; 0 means no limit.
    unsigned maxMemoryMb = 0;
    /// How long an idempotency key is accepted after its creation. Log retention must exceed this
    /// by 120 s.
    seconds keyWindow{86400};
    /// Longest wait for running requests after SIGTERM.
    seconds drainTimeout{600};
    RoutingPolicy routing = RoutingPolicy::Offers;
    FairnessPolicy fairness = FairnessPolicy::Fleet;
    /// False for the benchmark baseline without cost classes.
    bool costClasses = true;
    /// False for the benchmark baseline without hedged requests.
    bool hedging = true;
    /// Agents keep an idle connection to their server, which shows a restart that a probe misses.
    bool watchRestarts = true;
    /// Above 0: fixed concurrency limit of the server, for the benchmark baseline. 0: adaptive.
    int fixedLimit = 0;
};

/// Kind of a fault in a settings file.
enum class SettingsFaultKind : std::uint8_t {
    Unreadable,
    Syntax,
    UnknownKey,
    Missing,
    WrongType,
    OutOfRange,
    AddressInUse
};

/// Fault in a settings file. Line and column start at 1; both are 0 if the fault concerns the whole
/// file.
struct SettingsFault
{
    SettingsFaultKind kind = SettingsFaultKind::Syntax;
    std::string file;
    unsigned line = 0;
    unsigned column = 0;
    /// Key with its section, such as "limits.max_body_bytes".
    std::string setting;
    /// Describes a valid value; follows "expected" in the message.
    std::string expected;
};

/// Formats a fault as "file:line:column: setting: expected ...".
std::string toString(const SettingsFault &fault);

using SettingsResult = std::variant<DaemonSettings, std::vector<SettingsFault>>;

/// Reads and validates a settings file. Returns the settings, or all faults in file order.
SettingsResult readSettings(const std::string &file, DaemonRole role);
/// Checks that the daemon's own addresses can be bound. Returns a fault for each that can't be,
/// with its position in the settings file.
std::vector<SettingsFault> checkAddresses(const DaemonSettings &settings, const std::string &file);

} // namespace lovagecourse
