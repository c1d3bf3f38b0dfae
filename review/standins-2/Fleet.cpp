#include "Fleet.h"

#include <csignal>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace review {

namespace {

constexpr milliseconds heartbeatInterval{1200};
constexpr int missedHeartbeats = 3;

std::uint64_t nowMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

std::string fileContent(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

/// Replaces each {{name}} by its value, as the platform does.
std::string fillTemplate(std::string text, const std::map<std::string, std::string> &values)
{
    std::size_t begin = 0;
    while ((begin = text.find("{{", begin)) != std::string::npos) {
        const std::size_t end = text.find("}}", begin);
        const auto found = values.find(text.substr(begin + 2, end - begin - 2));
        if (end == std::string::npos || found == values.end())
            giveUp("no value for a placeholder of the settings");
        text.replace(begin, end + 2 - begin, found->second);
    }
    return text;
}

} // namespace

void giveUp(const std::string &reason)
{
    std::cerr << "the case could not run: " << reason << '\n';
    std::_Exit(2);
}

Fleet::Fleet(CaseOptions options)
    : options_(std::move(options))
    , record_(options_.recordPath)
    , values_{{"limits.max_fds", "4100"},
              {"limits.memory_mb", "260"},
              {"limits.cpu_share", "0.19"},
              {"bounds.budget_ratio", "0.2"},
              {"bounds.budget_slack", "58"},
              {"bounds.budget_window_s", "10"},
              {"bounds.config_ms", "2000"},
              {"bounds.drain_ms", "2000"},
              {"bounds.grace_s", "8"},
              {"heartbeat_ms", "1200"},
              {"zone", "fi-south-a"},
              {"region", "fi-south"},
              {"ip", "127.0.0.1"}}
{
    heartbeats_ = std::thread([this] {
        auto next = Clock::now() + heartbeatInterval;
        while (!isStopping_) {
            std::this_thread::sleep_for(milliseconds(50));
            if (Clock::now() < next)
                continue;
            next += heartbeatInterval;
            heartbeat();
        }
    });
}

Fleet::~Fleet()
{
    isStopping_ = true;
    heartbeats_.join();
    std::vector<pid_t> processes;
    for (const auto &[id, server] : servers_)
        processes.push_back(server.process);
    for (const auto &[name, router] : routers_)
        processes.push_back(router.process);
    for (const pid_t process : processes) {
        if (process > 0) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
    }
}

pid_t Fleet::start(const std::vector<std::string> &arguments, const std::string &logName) const
{
    const std::string log = options_.folder + '/' + logName;
    std::vector<char *> pointers;
    pointers.reserve(arguments.size() + 1);
    for (const std::string &argument : arguments)
        pointers.push_back(const_cast<char *>(argument.c_str()));
    pointers.push_back(nullptr);
    const pid_t parent = getpid();
    const pid_t process = fork();
    if (process != 0)
        return process;
    // No process outlives the case, however it ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (getppid() == parent)
        execv(pointers[0], pointers.data());
    _exit(127);
}

void Fleet::startProcess(Server &server)
{
    server.bornMs = nowMs();
    server.process = start({"/proc/self/exe", "server", "--id", server.id, "--port",
                            std::to_string(server.port), "--mode", server.mode, "--slots",
                            std::to_string(server.slots), "--record", options_.recordPath},
                           "server-" + server.id + ".log");
    server.diedAt = Clock::time_point();
    const auto deadline = Clock::now() + std::chrono::seconds(5);
    for (;;) {
        const int descriptor = connectTo(server.port);
        if (descriptor >= 0) {
            close(descriptor);
            return;
        }
        if (Clock::now() > deadline)
            giveUp("a server stand-in does not listen");
        std::this_thread::sleep_for(milliseconds(20));
    }
}

void Fleet::startServer(const std::string &id, const std::string &service, const std::string &mode,
                        int slots)
{
    Server server;
    server.id = id;
    server.service = service;
    server.mode = mode;
    server.slots = slots;
    server.port = freePort();
    startProcess(server);
    const std::lock_guard lock(mutex_);
    servers_[id] = server;
    registerServer(server);
}

void Fleet::registerServer(const Server &server)
{
    store_.put("keyed.servers", server.id,
               R"({"service":")" + server.service + R"(","address":"127.0.0.1:)"
                       + std::to_string(server.port) + R"(","zone":")" + values_.at("zone")
                       + R"(","version":"v1","slots":)" + std::to_string(server.slots)
                       + R"(,"state":"ready","cold_left_ms":0,"born":)"
                       + std::to_string(server.bornMs) + R"(,"sequence":1})");
}

void Fleet::heartbeat()
{
    const std::lock_guard lock(mutex_);
    for (auto &[id, server] : servers_) {
        if (server.process > 0)
            registerServer(server);
        else if (server.diedAt != Clock::time_point()
                 && Clock::now() - server.diedAt > missedHeartbeats * heartbeatInterval) {
            store_.put("keyed.servers", id, "");
            server.diedAt = Clock::time_point();
        }
    }
}

void Fleet::killServer(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    Server &server = servers_.at(id);
    record_.write("trouble server=" + id + " killed");
    kill(server.process, SIGKILL);
    waitpid(server.process, nullptr, 0);
    server.process = 0;
    server.diedAt = Clock::now();
}

void Fleet::troubleServer(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    record_.write("trouble server=" + id + " begins");
    kill(servers_.at(id).process, SIGUSR1);
}

void Fleet::calmServer(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    record_.write("trouble server=" + id + " ends");
    kill(servers_.at(id).process, SIGUSR2);
}

void Fleet::restartServer(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    Server &server = servers_.at(id);
    startProcess(server);
    registerServer(server);
    record_.write("server=" + id + " is back");
}

const Fleet::Server &Fleet::server(const std::string &id) const
{
    return servers_.at(id);
}

const Fleet::Router &Fleet::startRouter(const std::string &name)
{
    Router router;
    router.name = name;
    router.callers = freePort();
    router.ready = freePort();
    auto values = values_;
    values["node_name"] = name;
    values["platform.address"] = "127.0.0.1:" + std::to_string(store_.port());
    values["listen.front"] = "127.0.0.1:" + std::to_string(router.callers);
    values["listen.ready"] = "127.0.0.1:" + std::to_string(router.ready);
    values["internal_ports.0"] = std::to_string(freePort());
    const std::string settings = options_.folder + '/' + name + ".conf";
    std::ofstream(settings) << fillTemplate(fileContent(options_.settingsTemplate), values);
    std::vector<std::string> arguments = split(options_.router, ' ');
    arguments.emplace_back("--settings");
    arguments.push_back(settings);
    router.process = start(arguments, name + ".log");
    return routers_[name] = router;
}

void Fleet::waitReady(const Router &router) const
{
    const auto deadline = Clock::now() + std::chrono::seconds(15);
    while (Clock::now() < deadline) {
        const CallResult result = call(router.ready, "GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n",
                                       milliseconds(1000));
        if (result.answer && result.answer->status() == 200)
            return;
        std::this_thread::sleep_for(milliseconds(50));
    }
    giveUp("the router did not become ready");
}

void Fleet::putConfiguration(const std::string &json)
{
    store_.put("keyed.op", "config", json);
}

void Fleet::killRouter(const Router &router) const
{
    kill(router.process, SIGKILL);
}

void Fleet::signalRouter(const Router &router, int signal) const
{
    record_.write("trouble router=" + router.name + " signal=" + std::to_string(signal));
    kill(router.process, signal);
}

double Fleet::residentMb(const Router &router)
{
    std::ifstream status("/proc/" + std::to_string(router.process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::strtod(line.c_str() + 6, nullptr) / 1024;
    }
    return 0;
}

bool Fleet::isRunning(pid_t process)
{
    return waitpid(process, nullptr, WNOHANG) == 0;
}

} // namespace review
