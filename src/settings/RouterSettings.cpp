#include "settings/RouterSettings.h"

#include "settings/SettingsReader.h"

namespace lovagecourse {

namespace {

constexpr std::size_t minFleetKeyBytes = 16;
constexpr double maxRetryRatio = 10;
constexpr double maxRetrySlack = 1e6;
constexpr double maxHedgeShare = 1;
constexpr std::int64_t maxRetryWindowSeconds = 3600;
constexpr std::int64_t minSockets = 256;
constexpr std::int64_t maxSocketsLimit = 1 << 20;
constexpr std::int64_t minMemoryMb = 64;
constexpr std::int64_t maxMemoryMbLimit = 1 << 20;
constexpr std::int64_t maxPercent = 100;
constexpr std::int64_t minDelayBoundMs = 200;
constexpr std::int64_t maxDelayBoundMs = 60000;
constexpr double maxShutdownSeconds = 3600;
constexpr double maxProcessorShare = 64;
constexpr double permille = 1000;

/// Reads an optional time in seconds, which may have a fraction.
void readSeconds(SettingsReader &reader, std::string_view name, milliseconds &value)
{
    double inSeconds = std::chrono::duration<double>(value).count();
    reader.readNumber(name, inSeconds, 0, maxShutdownSeconds);
    value = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(inSeconds));
}

/// Reads an optional delay bound, a whole number of milliseconds.
void readMilliseconds(SettingsReader &reader, std::string_view name, milliseconds &value)
{
    std::int64_t count = value.count();
    if (reader.readInteger(name, count, minDelayBoundMs, maxDelayBoundMs))
        value = milliseconds(count);
}

} // namespace

RouterSettingsResult readRouterSettings(const std::string &file)
{
    const ParsedFile parsed = parseSettingsFile(file);
    if (const auto *fault = std::get_if<SettingsFault>(&parsed))
        return std::vector<SettingsFault>{*fault};
    std::vector<SettingsFault> faults;
    RouterSettings settings;
    settings.file = file;
    SettingsReader root(&std::get<toml::table>(parsed), "", file, faults);
    root.readString("name", settings.name.value);
    root.readString("data_centre", settings.dataCentre.value);
    root.readString("fleet_key", settings.fleetKey, minFleetKeyBytes);
    root.readUrl("platform", settings.platformUrl);
    root.readEndpoint("callers", settings.callers);
    root.readEndpoint("ready", settings.ready);
    root.readEndpoint("admin", settings.admin);
    root.readEndpoint("datagrams", settings.datagrams);

    std::int64_t maxSockets = settings.maxSockets;
    if (root.readInteger("max_sockets", maxSockets, minSockets, maxSocketsLimit))
        settings.maxSockets = static_cast<unsigned>(maxSockets);

    std::int64_t maxMemoryMb = settings.maxMemoryMb;
    if (root.readInteger("max_memory_mb", maxMemoryMb, minMemoryMb, maxMemoryMbLimit))
        settings.maxMemoryMb = static_cast<unsigned>(maxMemoryMb);

    std::int64_t addressPercent = settings.addressMemoryPercent;
    if (root.readInteger("address_memory_percent", addressPercent, 1, maxPercent))
        settings.addressMemoryPercent = static_cast<unsigned>(addressPercent);

    double processorShare = settings.processorPermille / permille;
    root.readNumber("processor_share", processorShare, 0, maxProcessorShare);
    settings.processorPermille = static_cast<std::uint16_t>(processorShare * permille);

    SettingsReader log(root.readTable("log"), "log", file, faults);
    log.readEnum<LogLevel>("level", settings.logLevel, logLevelNames);
    log.reportUnknownKeys();

    SettingsReader retries(root.readTable("repeats"), "repeats", file, faults);
    retries.readNumber("ratio", settings.retryRatio, 0, maxRetryRatio);
    retries.readNumber("slack", settings.retrySlack, 0, maxRetrySlack);
    std::int64_t window = settings.retryWindow.count();
    if (retries.readInteger("window_s", window, 1, maxRetryWindowSeconds))
        settings.retryWindow = seconds(window);
    retries.reportUnknownKeys();

    SettingsReader hedging(root.readTable("hedging"), "hedging", file, faults);
    hedging.readNumber("share", settings.hedgeShare, 0, maxHedgeShare);
    hedging.reportUnknownKeys();

    SettingsReader bounds(root.readTable("bounds"), "bounds", file, faults);
    readMilliseconds(bounds, "configuration_ms", settings.maxConfigurationDelay);
    readMilliseconds(bounds, "leaving_ms", settings.maxLeavingDelay);
    readMilliseconds(bounds, "renewal_ms", settings.renewalInterval);
    readMilliseconds(bounds, "max_pause_ms", settings.maxPause);
    bounds.reportUnknownKeys();

    SettingsReader shutdown(root.readTable("shutdown"), "shutdown", file, faults);
    readSeconds(shutdown, "limit_s", settings.shutdownLimit);
    readSeconds(shutdown, "balancer_s", settings.balancerGrace);
    shutdown.reportUnknownKeys();

    root.reportUnknownKeys();
    if (!faults.empty())
        return faults;
    return settings;
}

} // namespace lovagecourse
