#include "settings/DaemonSettings.h"

#include "settings/SettingsReader.h"
#include "wire/Codec.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

namespace lovagecourse {

namespace {

constexpr std::size_t minFleetKeyBytes = 16;
constexpr std::int64_t maxHeaderBytesLimit = 1 << 20;
// A body and its headers are sent in one frame of a link.
constexpr std::int64_t maxBodyBytesLimit =
        static_cast<std::int64_t>(maxFrameBytes) - 2 * maxHeaderBytesLimit;
constexpr std::int64_t maxConnectionsLimit = 1000000;
constexpr std::int64_t minMemoryMb = 64;
constexpr std::int64_t maxMemoryMbLimit = 1 << 20;
constexpr std::int64_t maxPercent = 100;
constexpr std::int64_t hourInSeconds = 3600;
constexpr std::int64_t dayInSeconds = 24 * hourInSeconds;
constexpr std::int64_t maxKeyWindowSeconds = 30 * dayInSeconds;
constexpr std::int64_t maxFixedLimit = 100000;

constexpr std::array<EnumName<LogFormat>, 2> logFormatNames{
        {{"text", LogFormat::Text}, {"json", LogFormat::Json}}};
constexpr std::array<EnumName<RoutingPolicy>, 4> routingPolicyNames{
        {{"offers", RoutingPolicy::Offers},
         {"push-random", RoutingPolicy::PushRandom},
         {"push-two-choices", RoutingPolicy::PushTwoChoices},
         {"load-report", RoutingPolicy::LoadReport}}};
constexpr std::array<EnumName<FairnessPolicy>, 3> fairnessPolicyNames{
        {{"fleet", FairnessPolicy::Fleet},
         {"per-agent", FairnessPolicy::PerAgent},
         {"first-come", FairnessPolicy::FirstComeFirstServed}}};

/// Parses the settings file of an entry or agent. Collects the faults of all sections.
class DaemonSettingsParser
{
public:
    DaemonSettingsParser(const toml::table &root, std::string file, DaemonRole role)
        : file_(std::move(file))
        , root_(&root, "", file_, faults_)
    {
        settings_.role = role;
    }

    SettingsResult read()
    {
        readIdentity();
        readAddresses();
        readAddressTranslations();
        readLog();
        readLimits();
        readPolicy();
        root_.reportUnknownKeys();
        if (faults_.empty())
            return std::move(settings_);
        std::stable_sort(faults_.begin(), faults_.end(), [](const auto &left, const auto &right) {
            return std::pair(left.line, left.column) < std::pair(right.line, right.column);
        });
        return std::move(faults_);
    }

private:
    void readIdentity()
    {
        root_.readString("name", settings_.name.value);
        root_.readString("host", settings_.host.value);
        root_.readString("data_centre", settings_.dataCentre.value);
        root_.readString("fleet_key", settings_.fleetKey, minFleetKeyBytes);
        root_.readUrl("platform", settings_.platformUrl);
        if (settings_.role == DaemonRole::Agent)
            root_.readString("server", settings_.server.value);
    }

    void readAddresses()
    {
        if (settings_.role == DaemonRole::Entry)
            root_.readEndpoint("callers", settings_.callers);
        else
            root_.readEndpoint("links", settings_.links);
        root_.readEndpoint("admin", settings_.admin);
        root_.readEndpoint("datagrams", settings_.datagrams);
        root_.readEndpoints("peers", settings_.peers);
    }

    void readAddressTranslations()
    {
        const toml::table *table = root_.readTable("via");
        if (!table)
            return;
        SettingsReader reader(table, "via", file_, faults_);
        for (const auto &[key, node] : *table) {
            const std::optional<Endpoint> from = parseEndpoint(key.str());
            if (!from)
                reader.report(SettingsFaultKind::OutOfRange, key.str(), &key.source(),
                              "a key of the form \"a.b.c.d:port\"");
            Endpoint to;
            reader.readEndpoint(key.str(), to);
            if (from)
                settings_.addressTranslations[*from] = to;
        }
    }

    void readLog()
    {
        SettingsReader reader(root_.readTable("log"), "log", file_, faults_);
        reader.readEnum<LogLevel>("level", settings_.logLevel, logLevelNames);
        reader.readEnum<LogFormat>("format", settings_.logFormat, logFormatNames);
        reader.reportUnknownKeys();
    }

    template <class Value>
    static void readNumber(SettingsReader &reader, std::string_view name, Value &value,
                           std::int64_t low, std::int64_t high)
    {
        std::int64_t number = 0;
        if (reader.readInteger(name, number, low, high))
            value = static_cast<Value>(number);
    }

    void readLimits()
    {
        SettingsReader reader(root_.readTable("limits"), "limits", file_, faults_);
        GatewayLimits &limits = settings_.limits;
        readNumber(reader, "max_body_bytes", limits.maxBodyBytes, 1, maxBodyBytesLimit);
        readNumber(reader, "max_header_bytes", limits.maxHeaderBytes, 1024, maxHeaderBytesLimit);
        readNumber(reader, "max_connections", limits.maxConnections, 1, maxConnectionsLimit);
        readNumber(reader, "max_memory_mb", settings_.maxMemoryMb, minMemoryMb, maxMemoryMbLimit);
        readNumber(reader, "address_memory_percent", limits.addressMemoryPercent, 1, maxPercent);
        readNumber(reader, "idle_timeout_s", limits.idleTimeout, 1, hourInSeconds);
        readNumber(reader, "key_window_s", settings_.keyWindow, 1, maxKeyWindowSeconds);
        readNumber(reader, "drain_timeout_s", settings_.drainTimeout, 1, dayInSeconds);
        reader.reportUnknownKeys();
    }

    void readPolicy()
    {
        SettingsReader reader(root_.readTable("policy"), "policy", file_, faults_);
        reader.readEnum<RoutingPolicy>("routing", settings_.routing, routingPolicyNames);
        reader.readEnum<FairnessPolicy>("fairness", settings_.fairness, fairnessPolicyNames);
        reader.readBool("cost_classes", settings_.costClasses);
        reader.readBool("hedging", settings_.hedging);
        reader.readBool("watch_restarts", settings_.watchRestarts);
        readNumber(reader, "fixed_limit", settings_.fixedLimit, 0, maxFixedLimit);
        reader.reportUnknownKeys();
    }

    std::string file_;
    std::vector<SettingsFault> faults_;
    DaemonSettings settings_;
    SettingsReader root_;
};

/// Tests by binding whether addresses are free. Keeps all sockets open until it is destroyed, so
/// that two settings with the same address conflict.
class AddressProbe
{
public:
    AddressProbe() = default;
    AddressProbe(const AddressProbe &) = delete;
    AddressProbe &operator=(const AddressProbe &) = delete;
    ~AddressProbe()
    {
        for (const int descriptor : descriptors_)
            close(descriptor);
    }

    /// Binds the endpoint, and listens if it is TCP. Returns 0 or the errno value of the failure.
    int tryBind(const Endpoint &endpoint, int socketType)
    {
        const int descriptor = socket(AF_INET, socketType | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            return errno;
        descriptors_.push_back(descriptor);
        // The daemon sets it too, so that a restart is not blocked by old connections in TIME_WAIT.
        // For UDP the option would let two processes share the address.
        const int on = 1;
        if (socketType == SOCK_STREAM)
            setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = toSocketAddress(endpoint);
        if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
            return errno;
        // With SO_REUSEADDR several sockets can bind one address, but only one can listen.
        if (socketType == SOCK_STREAM && listen(descriptor, 1) != 0)
            return errno;
        return 0;
    }

private:
    std::vector<int> descriptors_;
};

/// Address that the daemon itself binds, and the setting that holds it.
struct LocalAddress
{
    const char *setting;
    const Endpoint *endpoint;
    int socketType;
};

std::vector<LocalAddress> localAddresses(const DaemonSettings &settings)
{
    std::vector<LocalAddress> addresses;
    if (settings.role == DaemonRole::Entry)
        addresses.push_back({"callers", &settings.callers, SOCK_STREAM});
    else
        addresses.push_back({"links", &settings.links, SOCK_STREAM});
    addresses.push_back({"admin", &settings.admin, SOCK_STREAM});
    addresses.push_back({"datagrams", &settings.datagrams, SOCK_DGRAM});
    // Peers fetch the configuration state over TCP at the same address.
    addresses.push_back({"datagrams", &settings.datagrams, SOCK_STREAM});
    return addresses;
}

} // namespace

std::string toString(const SettingsFault &fault)
{
    std::string text = fault.file;
    if (fault.line > 0)
        text += ':' + std::to_string(fault.line) + ':' + std::to_string(fault.column);
    text += ": ";
    if (!fault.setting.empty())
        text += fault.setting + ": ";
    return text + "expected " + fault.expected;
}

SettingsResult readSettings(const std::string &file, DaemonRole role)
{
    const ParsedFile parsed = parseSettingsFile(file);
    if (const auto *fault = std::get_if<SettingsFault>(&parsed))
        return std::vector<SettingsFault>{*fault};
    return DaemonSettingsParser(std::get<toml::table>(parsed), file, role).read();
}

std::vector<SettingsFault> checkAddresses(const DaemonSettings &settings, const std::string &file)
{
    // Parsed again, because DaemonSettings does not keep the line and column of each setting.
    const ParsedFile parsed = parseSettingsFile(file);
    const auto *table = std::get_if<toml::table>(&parsed);
    std::vector<SettingsFault> faults;
    SettingsReader reader(table, "", file, faults);
    AddressProbe probe;
    for (const LocalAddress &address : localAddresses(settings)) {
        const int error = probe.tryBind(*address.endpoint, address.socketType);
        if (error == 0)
            continue;
        const toml::node *node = table ? table->get(address.setting) : nullptr;
        reader.report(SettingsFaultKind::AddressInUse, address.setting,
                      node ? &node->source() : nullptr,
                      "a free address of this host, but binding " + toString(*address.endpoint)
                              + " failed: " + std::strerror(error));
    }
    return faults;
}

} // namespace lovagecourse
