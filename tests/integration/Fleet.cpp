#include "integration/Fleet.h"

#include "entry/RequestValidator.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace lovagecourse::test {

namespace {

// Below the ephemeral port range of the system.
constexpr int firstPort = 10000;
constexpr int lastPort = 17900;
// Test programs run side by side, and a fleet that is shared out of the same ports could take the
// port of a process that another test is restarting. Each program therefore takes its own block,
// which has room for more fleets than a test has at a time.
constexpr int portsPerBlock = 395;
constexpr std::chrono::seconds startLimit{20};

/// Binds a loopback port; returns the socket, or -1 if the port is in use.
int bindPort(int port, int type)
{
    const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const int on = 1;
    if (type == SOCK_STREAM)
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

bool isFree(int port, int type)
{
    const int descriptor = bindPort(port, type);
    if (descriptor >= 0)
        close(descriptor);
    return descriptor >= 0;
}

/// Takes a block of ports for this program and returns its first port. The datagram socket there
/// stays bound until the program ends, so no other program takes the block.
int takePortBlock()
{
    constexpr int blocks = (lastPort - firstPort) / portsPerBlock;
    for (int i = 0; i < blocks; ++i) {
        const int port = firstPort + (getpid() + i) % blocks * portsPerBlock;
        if (bindPort(port, SOCK_DGRAM) >= 0)
            return port;
    }
    throw std::runtime_error("all blocks of ports are taken by other test programs");
}

std::string findFreeEndpoint()
{
    static const int block = takePortBlock();
    static int next = block;
    while (true) {
        next = next + 1 < block + portsPerBlock ? next + 1 : block + 1;
        if (isFree(next, SOCK_STREAM) && isFree(next, SOCK_DGRAM))
            return "127.0.0.1:" + std::to_string(next);
    }
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

} // namespace

Fleet::Fleet(FleetOptions options)
    : options_(std::move(options))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "lovagecourse-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    start("platform", {STANDINS_BINARY, "platform", "--listen", endpoint("platform")});
    for (int i = 1; i <= options_.engines; ++i)
        addServer("engine-" + std::to_string(i), "engine", options_.engineOptions);
    for (int i = 1; i <= options_.desks; ++i)
        addServer("desk-" + std::to_string(i), "desk", options_.deskOptions);
    for (const auto &[name, address] : options_.scriptedServers) {
        servers_.push_back(name);
        endpoints_[name] = address;
    }
    for (int i = 1; i <= options_.entries; ++i)
        entries_.push_back("entry-" + std::to_string(i));
    for (const std::string &entry : entries_)
        writeEntrySettings(entry);
    for (const std::string &server : servers_)
        writeAgentSettings(server);
    if (options_.proxied)
        startProxy();
    const bool platformUp =
            waitUntil(startLimit, [this] { return !getJson(platformUrl() + "/hosts").is_null(); });
    if (!platformUp)
        throw std::runtime_error("the platform stand-in did not start");
    for (const std::string &entry : entries_)
        start(entry, {LOVAGECOURSE_BINARY, "entry", "--settings", folder_ + '/' + entry + ".toml"});
    for (const std::string &server : servers_)
        start("agent-" + server,
              {LOVAGECOURSE_BINARY, "agent", "--settings", folder_ + "/agent-" + server + ".toml"});
    const CommandResult submitted = submitNote(firstNote());
    if (submitted.exitCode != 0)
        throw std::runtime_error("the first note was not accepted: " + submitted.output);
    if (!waitUntilUsable(startLimit))
        throw std::runtime_error("not every entry can use every server; logs are in " + folder_);
}

Fleet::~Fleet()
{
    members_.clear();
    if (getenv("LOVAGECOURSE_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder_);
}

std::string Fleet::endpoint(const std::string &name)
{
    std::string &endpoint = endpoints_[name];
    if (endpoint.empty())
        endpoint = findFreeEndpoint();
    return endpoint;
}

std::string Fleet::proxyEndpoint(const std::string &from, const std::string &to,
                                 const std::string &protocol)
{
    if (!options_.proxied)
        return endpoint(to);
    auto &[listen, target] = mappings_[from + '>' + to + (protocol == "udp" ? "/udp" : "")];
    if (listen.empty())
        listen = protocol + ':' + findFreeEndpoint();
    target = endpoint(to);
    return listen.substr(4);
}

void Fleet::addServer(const std::string &name, const std::string &kind,
                      const std::vector<std::string> &options)
{
    servers_.push_back(name);
    std::vector<std::string> command{STANDINS_BINARY, kind, "--listen", endpoint(name)};
    command.insert(command.end(), options.begin(), options.end());
    start(name, command);
}

void Fleet::writeSettings(const std::string &name, const std::string &lines)
{
    std::ofstream file(folder_ + '/' + name + ".toml");
    file << "name = " << quoted(name) << "\nhost = " << quoted("host-" + name)
         << "\ndata_centre = \"dc-1\"\nfleet_key = \"key of the test fleet\"\n"
         << "platform = " << quoted("http://" + proxyEndpoint(name, "platform", "tcp"))
         << "\nadmin = " << quoted(endpoint(name + "/admin"))
         << "\ndatagrams = " << quoted(endpoint(name + "/datagrams")) << '\n'
         << lines;
}

void Fleet::writeEntrySettings(const std::string &name)
{
    std::ostringstream lines;
    lines << "callers = " << quoted(endpoint(name)) << "\npeers = [";
    for (const std::string &peer : entries_) {
        if (peer != name)
            lines << quoted(endpoint(peer + "/datagrams")) << ", ";
    }
    lines << "]\n" << options_.settings << "\n[via]\n";
    for (const std::string &peer : entries_) {
        if (peer == name || !options_.proxied)
            continue;
        lines << quoted(endpoint(peer + "/datagrams")) << " = "
              << quoted(proxyEndpoint(name, peer + "/datagrams", "udp")) << '\n';
    }
    for (const std::string &server : servers_) {
        if (!options_.proxied)
            break;
        const std::string agent = "agent-" + server;
        lines << quoted(endpoint(agent + "/links")) << " = "
              << quoted(proxyEndpoint(name, agent + "/links", "tcp")) << '\n'
              << quoted(endpoint(agent + "/datagrams")) << " = "
              << quoted(proxyEndpoint(name, agent + "/datagrams", "udp")) << '\n';
    }
    writeSettings(name, lines.str());
}

void Fleet::writeAgentSettings(const std::string &server)
{
    const std::string name = "agent-" + server;
    std::ostringstream lines;
    lines << "links = " << quoted(endpoint(name + "/links")) << "\nserver = " << quoted(server)
          << "\npeers = [";
    for (const std::string &entry : entries_)
        lines << quoted(endpoint(entry + "/datagrams")) << ", ";
    lines << "]\n" << options_.settings << "\n[via]\n";
    for (const std::string &entry : entries_) {
        if (!options_.proxied)
            break;
        lines << quoted(endpoint(entry + "/datagrams")) << " = "
              << quoted(proxyEndpoint(name, entry + "/datagrams", "udp")) << '\n';
    }
    writeSettings(name, lines.str());
}

void Fleet::startProxy()
{
    std::vector<std::string> command{STANDINS_BINARY,   "proxy",  "--control",
                                     endpoint("proxy"), "--seed", std::to_string(options_.seed)};
    for (const auto &[name, mapping] : mappings_) {
        command.push_back("--map");
        command.push_back(mapping.first + '=' + mapping.second);
        // Peers fetch configuration states over TCP at the datagram address.
        if (!mapping.first.starts_with("udp:"))
            continue;
        command.push_back("--map");
        command.push_back("tcp:" + mapping.first.substr(4) + '=' + mapping.second);
    }
    start("proxy", command);
    const bool up =
            waitUntil(startLimit, [this] { return setFault("*", nlohmann::json::object()); });
    if (!up)
        throw std::runtime_error("the fault proxy did not start");
}

void Fleet::start(const std::string &name, const std::vector<std::string> &command)
{
    Member &member = members_[name];
    member.command = command;
    if (name == "platform")
        member.command.insert(member.command.end(), options_.platformOptions.begin(),
                              options_.platformOptions.end());
    member.process = std::make_unique<Process>(member.command, folder_ + '/' + name + ".log");
}

std::string Fleet::firstNote() const
{
    std::ostringstream note;
    note << "follows = 0\ntitle = \"first note\"\n";
    for (const auto &[account, share] : options_.accounts) {
        note << "[[added.accounts]]\nname = " << quoted(account) << "\nshare = " << std::fixed
             << share << "\nkeys = [" << quoted(apiKeyDigest(account + "-key")) << "]\n";
    }
    note << "[[added.services]]\nname = \"chat\"\npath = \"/v1/chat/completions\"\n"
         << "kind = \"model\"\nrepeatable = true\n"
         << options_.chatFields << '\n'
         << "[[added.services]]\nname = \"bookings\"\npath = \"/bookings\"\nkind = \"plain\"\n"
         << "repeatable = false\n"
         << options_.bookingFields << '\n'
         << "[[added.services]]\nname = \"trials\"\npath = \"/trials/\"\nkind = \"plain\"\n"
         << "repeatable = true\n";
    for (const std::string &server : servers_) {
        const bool isEngine = server.starts_with("engine");
        note << "[[added.servers]]\nname = " << quoted(server)
             << "\nhost = " << quoted("host-agent-" + server)
             << "\naddress = " << quoted(endpoints_.at(server))
             << "\nagent = " << quoted(endpoints_.at("agent-" + server + "/links"))
             << "\ndata_centre = \"dc-1\"\nservices = "
             << (isEngine ? "[\"chat\"]" : "[\"bookings\", \"trials\"]")
             << "\nmodels = " << (isEngine ? "[\"m\"]" : "[]")
             << "\nmax_limit = " << options_.maxLimit << '\n';
    }
    return note.str();
}

HttpOutcome Fleet::chat(int entry, const std::string &account, const std::string &prompt,
                        int maxTokens, bool stream, const std::string &requestId) const
{
    const nlohmann::json body{{"model", "m"},
                              {"stream", stream},
                              {"max_tokens", maxTokens},
                              {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    std::vector<std::pair<std::string, std::string>> headers{
            {"Authorization", "Bearer " + account + "-key"}, {"Content-Type", "application/json"}};
    if (!requestId.empty())
        headers.emplace_back("X-Request-Id", requestId);
    return call("POST", entryUrl(entry) + "/v1/chat/completions", headers, body.dump());
}

HttpOutcome Fleet::book(int entry, const std::string &account, const std::string &key,
                        std::chrono::milliseconds deadline, const std::string &body) const
{
    return call("POST", entryUrl(entry) + "/bookings",
                {{"Authorization", "Bearer " + account + "-key"},
                 {"Idempotency-Key", key},
                 {"X-Deadline-Ms", std::to_string(deadline.count())}},
                body);
}

Process &Fleet::process(const std::string &name)
{
    return *members_.at(name).process;
}

void Fleet::restart(const std::string &name)
{
    Member &member = members_.at(name);
    member.process->kill();
    member.process = std::make_unique<Process>(member.command, folder_ + '/' + name + ".log");
}

void Fleet::startCopy(const std::string &name, const std::string &copyName,
                      const std::map<std::string, std::string> &replacedSettings)
{
    std::ifstream original(folder_ + '/' + name + ".toml");
    std::ofstream copy(folder_ + '/' + copyName + ".toml");
    for (std::string line; std::getline(original, line);) {
        const std::string setting = line.substr(0, line.find(' '));
        const auto replaced = replacedSettings.find(setting);
        copy << (replaced == replacedSettings.end() ? line : setting + " = " + replaced->second)
             << '\n';
    }
    copy.close();
    std::vector<std::string> command = members_.at(name).command;
    command.back() = folder_ + '/' + copyName + ".toml";
    start(copyName, command);
}

std::string Fleet::freeEndpoint()
{
    return findFreeEndpoint();
}

std::string Fleet::entryUrl(int entry) const
{
    return "http://" + endpoints_.at("entry-" + std::to_string(entry));
}

nlohmann::json Fleet::status(const std::string &daemon) const
{
    return getJson("http://" + endpoints_.at(daemon + "/admin") + "/status");
}

double Fleet::metric(const std::string &daemon, const std::string &name) const
{
    const HttpOutcome page = call("GET", "http://" + endpoints_.at(daemon + "/admin") + "/metrics",
                                  {}, "", std::chrono::seconds(5));
    std::istringstream lines(page.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + ' '))
            return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

bool Fleet::isUsable(int entry, const std::string &server) const
{
    const nlohmann::json page = status("entry-" + std::to_string(entry));
    if (!page.is_object() || !page.value("ready", false))
        return false;
    for (const nlohmann::json &row : page["servers"]) {
        if (row["name"] == server)
            return row["usable"].get<bool>();
    }
    return false;
}

bool Fleet::waitUntilUsable(int entry, const std::string &server,
                            std::chrono::milliseconds limit) const
{
    return waitUntil(limit, [&] { return isUsable(entry, server); });
}

bool Fleet::waitUntilUsable(std::chrono::milliseconds limit) const
{
    return waitUntil(limit, [&] {
        for (int entry = 1; entry <= options_.entries; ++entry) {
            for (const std::string &server : servers_) {
                if (!isUsable(entry, server))
                    return false;
            }
        }
        return true;
    });
}

nlohmann::json Fleet::journal(const std::string &server) const
{
    return getJson("http://" + endpoints_.at(server) + "/journal");
}

nlohmann::json Fleet::acceptedOrders(const std::string &engine) const
{
    return getJson("http://" + endpoints_.at(engine) + "/orders");
}

bool Fleet::control(const std::string &standin, const nlohmann::json &command) const
{
    return postJson("http://" + endpoints_.at(standin) + "/control", command);
}

bool Fleet::setHostState(const std::string &host, const std::string &state) const
{
    return postJson(platformUrl() + "/hosts/" + host, {{"state", state}});
}

bool Fleet::setFault(const std::string &mapping, const nlohmann::json &rules) const
{
    nlohmann::json command = rules;
    command["map"] = mapping == "*" ? mapping : mappings_.at(mapping).first.substr(4);
    return postJson("http://" + endpoints_.at("proxy") + "/rules", command);
}

bool Fleet::setFaults(const std::string &prefix, const nlohmann::json &rules) const
{
    bool done = true;
    for (const auto &[name, mapping] : mappings_) {
        if (name.starts_with(prefix))
            done = setFault(name, rules) && done;
    }
    return done;
}

CommandResult Fleet::submitNote(const std::string &toml) const
{
    const std::string file = findFreeEndpoint().substr(10) + "-note.toml";
    std::ofstream(folder_ + '/' + file) << toml;
    return note({"submit", folder_ + '/' + file});
}

CommandResult Fleet::note(const std::vector<std::string> &arguments) const
{
    std::vector<std::string> command{LOVAGECOURSE_BINARY, "note"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    command.insert(command.end(), {"--platform", platformUrl()});
    return runCommand(command, folder_ + "/command-" + findFreeEndpoint().substr(10) + ".out");
}

std::string Fleet::platformUrl() const
{
    return "http://" + endpoints_.at("platform");
}

std::vector<std::string> Fleet::daemons() const
{
    std::vector<std::string> names = entries_;
    for (const std::string &server : servers_)
        names.push_back("agent-" + server);
    return names;
}

} // namespace lovagecourse::test
