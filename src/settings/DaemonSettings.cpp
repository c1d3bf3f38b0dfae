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
// A body and its headers travel in one frame of a link.
constexpr std::int64_t maxBodyBytesLimit =
        static_cast<std::int64_t>(maxFrameBytes) - 2 * maxHeaderBytesLimit;
constexpr std::int64_t maxConnectionsLimit = 1000000;
constexpr std::int64_t hourInSeconds = 3600;
constexpr std::int64_t dayInSeconds = 24 * hourInSeconds;
constexpr std::int64_t maxKeyWindowSeconds = 30 * dayInSeconds;
constexpr std::int64_t maxFixedLimit = 100000;

constexpr std::array<SettingsWord<LogFormat>, 2> logFormats{
        {{"text", LogFormat::Text}, {"json", LogFormat::Json}}};
constexpr std::array<SettingsWord<RoutingPolicy>, 4> routingPolicies{
        {{"offers", RoutingPolicy::Offers},
         {"push-random", RoutingPolicy::PushRandom},
         {"push-two-choices", RoutingPolicy::PushTwoChoices},
         {"load-report", RoutingPolicy::LoadReport}}};
constexpr std::array<SettingsWord<FairnessPolicy>, 3> fairnessPolicies{
        {{"fleet", FairnessPolicy::Fleet},
         {"per-agent", FairnessPolicy::PerAgent},
         {"first-come", FairnessPolicy::FirstComeFirstServed}}};

/// Reads the sections of one file into settings.
class SettingsAssembly
{
public:
    SettingsAssembly(const toml::table &root, std::string file, DaemonRole role)
        : file_(std::move(file))
        , root_(&root, "", file_, faults_)
    {
        settings_.role = role;
    }

    SettingsResult read()
    {
        readIdentity();
        readAddresses();
        readVia();
        readLog();
        readLimits();
        readPolicy();
        root_.reportUnknown();
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
        root_.readText("name", settings_.name.value);
        root_.readText("host", settings_.host.value);
        root_.readText("data_centre", settings_.dataCentre.value);
        root_.readText("fleet_key", settings_.fleetKey, minFleetKeyBytes);
        root_.readUrl("platform", settings_.platformUrl);
        if (settings_.role == DaemonRole::Agent)
            root_.readText("server", settings_.server.value);
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

    void readVia()
    {
        const toml::table *table = root_.readTable("via");
        if (!table)
            return;
        SettingsReader reader(table, "via", file_, faults_);
        for (const auto &[key, node] : *table) {
            const std::optional<Endpoint> from = parseEndpoint(key.str());
            if (!from)
                reader.report(SettingsFaultKind::OutOfRange, key.str(), &key.source(),
                              "a name of the form \"a.b.c.d:port\"");
            Endpoint to;
            reader.readEndpoint(key.str(), to);
            if (from)
                settings_.via[*from] = to;
        }
    }

    void readLog()
    {
        SettingsReader reader(root_.readTable("log"), "log", file_, faults_);
        reader.readWord<LogLevel>("level", settings_.logLevel, logLevels);
        reader.readWord<LogFormat>("format", settings_.logFormat, logFormats);
        reader.reportUnknown();
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
        readNumber(reader, "idle_timeout_s", limits.idleTimeout, 1, hourInSeconds);
        readNumber(reader, "key_window_s", settings_.keyWindow, 1, maxKeyWindowSeconds);
        readNumber(reader, "drain_timeout_s", settings_.drainTimeout, 1, dayInSeconds);
        reader.reportUnknown();
    }

    void readPolicy()
    {
        SettingsReader reader(root_.readTable("policy"), "policy", file_, faults_);
        reader.readWord<RoutingPolicy>("routing", settings_.routing, routingPolicies);
        reader.readWord<FairnessPolicy>("fairness", settings_.fairness, fairnessPolicies);
        reader.readFlag("cost_classes", settings_.costClasses);
        reader.readFlag("hedging", settings_.hedging);
        readNumber(reader, "fixed_limit", settings_.fixedLimit, 0, maxFixedLimit);
        reader.reportUnknown();
    }

    std::string file_;
    std::vector<SettingsFault> faults_;
    DaemonSettings settings_;
    SettingsReader root_;
};

/// Sockets bound for a check; closed together, so that two settings with one address collide.
class TrialSockets
{
public:
    TrialSockets() = default;
    TrialSockets(const TrialSockets &) = delete;
    TrialSockets &operator=(const TrialSockets &) = delete;
    ~TrialSockets()
    {
        for (const int descriptor : descriptors_)
            close(descriptor);
    }

    /// 0, or the errno value of the failure.
    int tryBind(const Endpoint &endpoint, int type)
    {
        const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        if (descriptor < 0)
            return errno;
        descriptors_.push_back(descriptor);
        // As in the daemon: a restart is not held up by connections of the run before. For UDP
        // the option would let two processes share the address.
        const int on = 1;
        if (type == SOCK_STREAM)
            setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const sockaddr_in address = toSocketAddress(endpoint);
        if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0)
            return errno;
        // With SO_REUSEADDR two sockets may bind one address, but only one may listen.
        if (type == SOCK_STREAM && listen(descriptor, 1) != 0)
            return errno;
        return 0;
    }

private:
    std::vector<int> descriptors_;
};

struct OwnAddress
{
    const char *setting;
    const Endpoint *endpoint;
    int type;
};

std::vector<OwnAddress> ownAddresses(const DaemonSettings &settings)
{
    std::vector<OwnAddress> addresses;
    if (settings.role == DaemonRole::Entry)
        addresses.push_back({"callers", &settings.callers, SOCK_STREAM});
    else
        addresses.push_back({"links", &settings.links, SOCK_STREAM});
    addresses.push_back({"admin", &settings.admin, SOCK_STREAM});
    addresses.push_back({"datagrams", &settings.datagrams, SOCK_DGRAM});
    // Peers fetch configurations over TCP from the address of the datagrams.
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
    return SettingsAssembly(std::get<toml::table>(parsed), file, role).read();
}

std::vector<SettingsFault> checkAddresses(const DaemonSettings &settings, const std::string &file)
{
    // Read again for the places of the settings in the file.
    const ParsedFile parsed = parseSettingsFile(file);
    const auto *table = std::get_if<toml::table>(&parsed);
    std::vector<SettingsFault> faults;
    SettingsReader reader(table, "", file, faults);
    TrialSockets sockets;
    for (const OwnAddress &address : ownAddresses(settings)) {
        const int error = sockets.tryBind(*address.endpoint, address.type);
        if (error == 0)
            continue;
        const toml::node *node = table ? table->get(address.setting) : nullptr;
        reader.report(SettingsFaultKind::AddressInUse, address.setting,
                      node ? &node->source() : nullptr,
                      "an address of this host that is free: " + toString(*address.endpoint) + ": "
                              + std::strerror(error));
    }
    return faults;
}

} // namespace lovagecourse
