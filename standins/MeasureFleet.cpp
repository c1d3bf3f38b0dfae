#include "MeasureFleet.h"

#include "entry/RequestValidator.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace lovagecourse {

using nlohmann::json;

namespace {

constexpr int firstPort = 20100;
constexpr int lastPort = 30000;
constexpr std::chrono::seconds startTimeout{30};
constexpr std::chrono::milliseconds pollInterval{50};

std::string tomlString(const std::string &text)
{
    return '"' + text + '"';
}

bool isFree(int port, int type)
{
    const int descriptor = socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto *generic = reinterpret_cast<const sockaddr *>(&address);
    const bool free = bind(descriptor, generic, sizeof(address)) == 0;
    close(descriptor);
    return free;
}

/// Next loopback address whose port is free for TCP and UDP.
std::string findFreeAddress()
{
    static int next = firstPort + (getpid() * 131) % (lastPort - firstPort);
    while (true) {
        next = next + 1 < lastPort ? next + 1 : firstPort;
        if (isFree(next, SOCK_STREAM) && isFree(next, SOCK_DGRAM))
            return "127.0.0.1:" + std::to_string(next);
    }
}

std::size_t onBodyBytes(char *bytes, std::size_t size, std::size_t count, void *target)
{
    static_cast<std::string *>(target)->append(bytes, size * count);
    return size * count;
}

bool waitUntil(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + startTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

} // namespace

std::string fetchText(const std::string &url, const std::string &body)
{
    constexpr long timeoutMs = 3000;
    std::string answer;
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeoutMs);
    curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &onBodyBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
    if (!body.empty())
        curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, body.c_str());
    const CURLcode code = curl_easy_perform(easy);
    curl_easy_cleanup(easy);
    return code == CURLE_OK ? answer : std::string();
}

MeasureFleet::MeasureFleet(MeasureFleetOptions options)
    : options_(std::move(options))
{
    for (int i = 1; i <= options_.engines; ++i)
        servers_.push_back("engine-" + std::to_string(i));
    for (int i = 1; i <= options_.desks; ++i)
        servers_.push_back("desk-" + std::to_string(i));
    for (int i = 1; i <= options_.entries; ++i)
        entries_.push_back("entry-" + std::to_string(i));
}

MeasureFleet::~MeasureFleet()
{
    for (const auto &[name, pid] : processes_)
        kill(pid, SIGKILL);
    for (const auto &[name, pid] : processes_)
        waitpid(pid, nullptr, 0);
}

std::string MeasureFleet::address(const std::string &name)
{
    std::string &address = addresses_[name];
    if (address.empty())
        address = findFreeAddress();
    return address;
}

std::string MeasureFleet::proxiedAddress(const std::string &from, const std::string &to)
{
    std::string listen = address(from + '>' + to);
    proxyMappings_[listen] = address(to);
    return listen;
}

void MeasureFleet::spawn(const std::string &name, const std::vector<std::string> &command)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    const std::string output = options_.folder + '/' + name + ".out";
    const std::string errors = options_.folder + '/' + name + ".log";
    const pid_t pid = fork();
    if (pid > 0) {
        processes_[name] = pid;
        return;
    }
    constexpr int mode = 0644;
    dup2(open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, mode), STDOUT_FILENO);
    dup2(open(errors.c_str(), O_WRONLY | O_CREAT | O_TRUNC, mode), STDERR_FILENO);
    execv(arguments.front(), arguments.data());
    _exit(127);
}

int MeasureFleet::wait(const std::string &name)
{
    int status = 0;
    waitpid(processes_.at(name), &status, 0);
    processes_.erase(name);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void MeasureFleet::writeSettings(const std::string &name, int dataCentre, const std::string &lines)
{
    std::ofstream file(options_.folder + '/' + name + ".toml");
    file << "name = " << tomlString(name) << "\nhost = " << tomlString("host-" + name)
         << "\ndata_centre = \"dc-" << dataCentre % options_.dataCentres
         << "\"\nfleet_key = \"key of the measured fleet\"\nplatform = "
         << tomlString("http://" + address("platform"))
         << "\nadmin = " << tomlString(address(name + "/admin"))
         << "\ndatagrams = " << tomlString(address(name + "/datagrams")) << "\npeers = [";
    for (const std::string &entry : entries_)
        file << tomlString(address(entry + "/datagrams")) << ", ";
    file << "]\n" << lines << "\n[log]\nlevel = \"warning\"\n[policy]\n" << options_.policy << '\n';
}

void MeasureFleet::writeAllSettings()
{
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        const std::string agent = "agent-" + servers_[i];
        writeSettings(agent, static_cast<int>(i),
                      "links = " + tomlString(address(agent + "/links"))
                              + "\nserver = " + tomlString(servers_[i]));
    }
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        std::string lines = "callers = " + tomlString(address(entries_[i])) + "\n[via]\n";
        for (const std::string &server : servers_) {
            const std::string agent = "agent-" + server + "/links";
            if (options_.delayMs > 0)
                lines += tomlString(address(agent)) + " = "
                         + tomlString(proxiedAddress(entries_[i], agent)) + '\n';
        }
        writeSettings(entries_[i], static_cast<int>(i), lines);
    }
}

bool MeasureFleet::startProxy()
{
    std::vector<std::string> command{options_.standins, "proxy", "--control", address("proxy")};
    for (const auto &[listen, target] : proxyMappings_) {
        command.emplace_back("--map");
        command.push_back(std::string("tcp:").append(listen).append("=").append(target));
    }
    spawn("proxy", command);
    // Jitter of up to the same again, so that the delays of the links differ.
    const json rules{{"map", "*"}, {"delay_ms", options_.delayMs}, {"jitter_ms", options_.delayMs}};
    const std::string url = "http://" + address("proxy") + "/rules";
    return waitUntil([&] { return !fetchText(url, rules.dump()).empty(); });
}

bool MeasureFleet::submitNote()
{
    const std::string file = options_.folder + "/note.toml";
    std::ofstream note(file);
    note << "follows = 0\ntitle = \"measured fleet\"\n" << std::fixed;
    for (const auto &[account, share] : options_.accounts)
        note << "[[added.accounts]]\nname = " << tomlString(account) << "\nshare = " << share
             << "\nkeys = [" << tomlString(apiKeyDigest(account + "-key")) << "]\n";
    note << "[[added.services]]\nname = \"chat\"\npath = \"/v1/chat/completions\"\n"
         << "kind = \"model\"\nrepeatable = true\n"
         // Costs are scaled down, and so is the boundary between short and long requests.
         << "long_above = 50.0\ndefault_cost = 24.0\n"
         << "[[added.services]]\nname = \"trials\"\npath = \"/trials/\"\nkind = \"plain\"\n"
         << "repeatable = true\n";
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        const std::string &server = servers_[i];
        const bool isEngine = server.starts_with("engine");
        // Every engine serves model m; only the second half also serves model n.
        const bool hasBoth = i >= static_cast<std::size_t>(options_.engines) / 2;
        note << "[[added.servers]]\nname = " << tomlString(server)
             << "\nhost = " << tomlString("host-agent-" + server)
             << "\naddress = " << tomlString(address(server))
             << "\nagent = " << tomlString(address("agent-" + server + "/links"))
             << "\ndata_centre = \"dc-" << static_cast<int>(i) % options_.dataCentres
             << "\"\nservices = " << (isEngine ? "[\"chat\"]" : "[\"trials\"]") << "\nmodels = "
             << (!isEngine ? "[]"
                 : hasBoth ? "[\"m\", \"n\"]"
                           : "[\"m\"]")
             << "\nmax_limit = " << options_.maxLimit << '\n';
    }
    note.close();
    spawn("note",
          {options_.binary, "note", "submit", file, "--platform", "http://" + address("platform")});
    return wait("note") == 0;
}

bool MeasureFleet::allServersUsable() const
{
    for (const std::string &entry : entries_) {
        const std::string text = fetchText("http://" + addresses_.at(entry + "/admin") + "/status");
        const json page = json::parse(text, nullptr, false);
        if (!page.is_object() || !page.value("ready", false)
            || page["servers"].size() < servers_.size())
            return false;
        for (const json &server : page["servers"]) {
            if (!server.value("usable", false))
                return false;
        }
    }
    return true;
}

bool MeasureFleet::start()
{
    spawn("platform", {options_.standins, "platform", "--listen", address("platform")});
    for (const std::string &server : servers_) {
        const bool isEngine = server.starts_with("engine");
        std::vector<std::string> command{options_.standins, isEngine ? "engine" : "desk",
                                         "--listen", address(server)};
        if (isEngine)
            command.insert(command.end(), options_.engineOptions.begin(),
                           options_.engineOptions.end());
        else
            command.insert(command.end(), {"--status-ms", "0"});
        spawn(server, command);
    }
    writeAllSettings();
    if (options_.delayMs > 0 && !startProxy())
        return false;
    const std::string hosts = "http://" + address("platform") + "/hosts";
    if (!waitUntil([&] { return !fetchText(hosts).empty(); }) || !submitNote())
        return false;
    for (const std::string &server : servers_) {
        const std::string file = options_.folder + "/agent-" + server + ".toml";
        spawn("agent-" + server, {options_.binary, "agent", "--settings", file});
    }
    for (const std::string &entry : entries_) {
        const std::string file = options_.folder + '/' + entry + ".toml";
        spawn(entry, {options_.binary, "entry", "--settings", file});
    }
    return waitUntil([this] { return allServersUsable(); });
}

std::string MeasureFleet::entryUrl(int entry) const
{
    return "http://" + addresses_.at("entry-" + std::to_string(entry));
}

std::string MeasureFleet::serverUrl(const std::string &server) const
{
    return "http://" + addresses_.at(server);
}

bool MeasureFleet::control(int engine, const json &command) const
{
    return !fetchText(serverUrl("engine-" + std::to_string(engine)) + "/control", command.dump())
                    .empty();
}

std::map<std::string, double> MeasureFleet::metrics(const std::string &name) const
{
    std::map<std::string, double> values;
    const std::string suffix = "/admin";
    for (const auto &[owner, address] : addresses_) {
        if (!owner.ends_with(suffix))
            continue;
        std::istringstream page(fetchText("http://" + address + "/metrics"));
        double &value = values[owner.substr(0, owner.size() - suffix.size())];
        for (std::string line; std::getline(page, line);) {
            const bool matches = line.starts_with(name + ' ') || line.starts_with(name + '{');
            if (matches)
                value += std::strtod(line.c_str() + line.rfind(' '), nullptr);
        }
    }
    return values;
}

void MeasureFleet::startLoad(const std::string &name, const std::vector<std::string> &arguments)
{
    std::vector<std::string> command{options_.standins, "load"};
    command.insert(command.end(), arguments.begin(), arguments.end());
    spawn(name, command);
}

json MeasureFleet::report(const std::string &name)
{
    wait(name);
    std::ifstream file(options_.folder + '/' + name + ".out");
    return json::parse(file, nullptr, false);
}

} // namespace lovagecourse
