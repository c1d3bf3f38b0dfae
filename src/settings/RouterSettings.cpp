#include "settings/RouterSettings.h"

#include "settings/SettingsReader.h"

namespace lovagecourse {

namespace {

constexpr std::size_t minFleetKeyBytes = 16;
constexpr double maxRatio = 10;
constexpr double maxSlack = 1e6;
constexpr std::int64_t maxWindowSeconds = 3600;
constexpr std::int64_t minSockets = 256;
constexpr std::int64_t maxSocketsLimit = 1 << 20;
constexpr std::int64_t minMemoryMb = 64;
constexpr std::int64_t maxMemoryMbLimit = 1 << 20;
constexpr std::int64_t minBoundMs = 200;
constexpr std::int64_t maxBoundMs = 60000;
constexpr double maxSeconds = 3600;

/// Setting in seconds, which may have a fraction.
void readTime(SettingsReader &reader, std::string_view name, milliseconds &value)
{
    double inSeconds = std::chrono::duration<double>(value).count();
    reader.readNumber(name, inSeconds, 0, maxSeconds);
    value = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(inSeconds));
}

void readMilliseconds(SettingsReader &reader, std::string_view name, milliseconds &value)
{
    std::int64_t count = value.count();
    if (reader.readInteger(name, count, minBoundMs, maxBoundMs))
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
    root.readText("name", settings.name.value);
    root.readText("data_centre", settings.dataCentre.value);
    root.readText("fleet_key", settings.fleetKey, minFleetKeyBytes);
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

    SettingsReader log(root.readTable("log"), "log", file, faults);
    log.readWord<LogLevel>("level", settings.logLevel, logLevels);
    log.reportUnknown();

    SettingsReader repeats(root.readTable("repeats"), "repeats", file, faults);
    repeats.readNumber("ratio", settings.repeatRatio, 0, maxRatio);
    repeats.readNumber("slack", settings.repeatSlack, 0, maxSlack);
    std::int64_t window = settings.repeatWindow.count();
    if (repeats.readInteger("window_s", window, 1, maxWindowSeconds))
        settings.repeatWindow = seconds(window);
    repeats.reportUnknown();

    SettingsReader bounds(root.readTable("bounds"), "bounds", file, faults);
    readMilliseconds(bounds, "configuration_ms", settings.configurationBound);
    readMilliseconds(bounds, "leaving_ms", settings.leavingBound);
    bounds.reportUnknown();

    SettingsReader shutdown(root.readTable("shutdown"), "shutdown", file, faults);
    readTime(shutdown, "limit_s", settings.shutdownLimit);
    readTime(shutdown, "balancer_s", settings.balancerGrace);
    shutdown.reportUnknown();

    root.reportUnknown();
    if (!faults.empty())
        return faults;
    return settings;
}

} // namespace lovagecourse
