#pragma once

#include "Http.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>
#include <map>
#include <sstream>

namespace review {

/// Resident memory of a process without the pages of files, in MB; 0 if it has ended.
inline long memoryOf(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("RssAnon:"))
            return std::atol(line.c_str() + 8) / 1024;
    }
    return 0;
}

/// A router, started with the command of the deploy file and its template of settings.
class Router
{
public:
    /// root: of the repository. Fields replace those of the template.
    Router(std::string root, std::string folder, std::string name, std::uint16_t storePort,
           std::map<std::string, std::string> fields = {})
        : root_(std::move(root))
        , name_(std::move(name))
        , settings_(folder + '/' + name_ + ".toml")
        , log_(folder + '/' + name_ + ".log")
        , callers_(freePort())
        , ready_(freePort())
        , internal_(freePort())
    {
        std::map<std::string, std::string> all{
                {"node_name", name_},
                {"zone", "zone-a"},
                {"region", "region-1"},
                {"ip", "127.0.0.1"},
                {"platform.address", "127.0.0.1:" + std::to_string(storePort)},
                {"listen.front", "127.0.0.1:" + std::to_string(callers_)},
                {"listen.ready", "127.0.0.1:" + std::to_string(ready_)},
                {"internal_ports.0", std::to_string(internal_)},
                {"limits.max_fds", "4100"},
                {"limits.memory_mb", "260"},
                {"limits.cpu_share", "0.19"},
                {"heartbeat_ms", "1200"},
                {"bounds.budget_ratio", "0.2"},
                {"bounds.budget_slack", "58"},
                {"bounds.budget_window_s", "10"},
                {"bounds.config_ms", "2000"},
                {"bounds.drain_ms", "2000"},
                {"bounds.grace_s", "8"}};
        for (const auto &[field, value] : fields)
            all[field] = value;
        std::stringstream text;
        text << std::ifstream(root_ + "/deploy/router.toml").rdbuf();
        std::string filled = text.str();
        for (const auto &[field, value] : all) {
            const std::string place = "{{" + field + "}}";
            for (std::size_t at = filled.find(place); at != std::string::npos;
                 at = filled.find(place))
                filled.replace(at, place.size(), value);
        }
        std::ofstream(settings_) << filled;
    }
    ~Router() { kill(); }
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    const std::string &name() const { return name_; }
    std::uint16_t callers() const { return callers_; }
    std::uint16_t readyPort() const { return ready_; }
    pid_t process() const { return process_; }

    void start()
    {
        process_ = fork();
        if (process_ != 0)
            return;
        // The router must not outlive a case that is ended.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        for (int descriptor = 3; descriptor < 1024; ++descriptor)
            close(descriptor);
        signal(SIGPIPE, SIG_DFL);
        const std::string program = root_ + "/target/lovagecourse";
        execl(program.c_str(), "lovagecourse", "router", "--settings", settings_.c_str(),
              static_cast<char *>(nullptr));
        _exit(127);
    }

    void signalProcess(int number) const
    {
        if (process_ > 0)
            ::kill(process_, number);
    }

    /// Returns the wait status if the process has ended by itself or by a signal.
    std::optional<int> endStatus()
    {
        int status = 0;
        if (process_ <= 0 || waitpid(process_, &status, WNOHANG) != process_)
            return std::nullopt;
        process_ = 0;
        return status;
    }

    void kill()
    {
        if (process_ <= 0)
            return;
        ::kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
        process_ = 0;
    }

    /// Asks like the platform whether the router is ready.
    bool isReady() const
    {
        const auto deadline = Clock::now() + milliseconds(1000);
        const auto connection = Connection::open(ready_, milliseconds(1000));
        if (!connection
            || !connection->send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: "
                                 "close\r\n\r\n"))
            return false;
        const auto answer = connection->readMessage(true, deadline);
        return answer && answer->status() == 200;
    }

    bool waitReady(std::int64_t limitMs) const
    {
        const auto start = Clock::now();
        while (elapsedMs(start) < limitMs) {
            if (isReady())
                return true;
            sleepMs(50);
        }
        return false;
    }

private:
    std::string root_;
    std::string name_;
    std::string settings_;
    std::string log_;
    std::uint16_t callers_;
    std::uint16_t ready_;
    std::uint16_t internal_;
    pid_t process_ = 0;
};

} // namespace review
