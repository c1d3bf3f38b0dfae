#pragma once

#include "Store.h"

#include <sys/types.h>

#include <thread>

namespace review {

/// What a case is started with.
struct CaseOptions
{
    /// The program and the arguments before --settings, as in the deploy file.
    std::string router;
    /// The template of the router's settings.
    std::string settingsTemplate;
    /// For settings and logs.
    std::string folder;
    std::string recordPath;
    bool hasTrouble = true;
};

/// Ends the case because it could not run.
[[noreturn]] void giveUp(const std::string &reason);

/// A small deployment on loopback: the store, servers that register in it, and routers. Every
/// process is killed by the destructor.
class Fleet
{
public:
    explicit Fleet(CaseOptions options);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    struct Server
    {
        std::string id;
        std::string service;
        std::string mode;
        int port = 0;
        int slots = 0;
        pid_t process = 0;
        std::uint64_t bornMs = 0;
        Clock::time_point diedAt;
    };

    struct Router
    {
        std::string name;
        int callers = 0;
        int ready = 0;
        pid_t process = 0;
    };

    /// Starts a server process and registers it.
    void startServer(const std::string &id, const std::string &service, const std::string &mode,
                     int slots);
    /// Puts a server of mode "endless" in trouble.
    void troubleServer(const std::string &id);
    void calmServer(const std::string &id);
    /// Kills the process; its registration lapses after three heartbeats.
    void killServer(const std::string &id);
    /// Starts the process again, at the same address and under the same id.
    void restartServer(const std::string &id);
    const Server &server(const std::string &id) const;
    /// Replaces values of the template, such as "limits.memory_mb".
    void setValue(const std::string &name, const std::string &value) { values_[name] = value; }
    const Router &startRouter(const std::string &name);
    /// Waits until the router says that it is ready; gives up after 15 s.
    void waitReady(const Router &router) const;
    void putConfiguration(const std::string &json);
    /// Kills the router's process.
    void killRouter(const Router &router) const;
    /// Sends a signal as part of the trouble.
    void signalRouter(const Router &router, int signal) const;
    /// Resident memory of the router, in MB; 0 if it has ended.
    static double residentMb(const Router &router);
    static bool isRunning(pid_t process);

    Store &store() { return store_; }
    Record &record() { return record_; }
    const CaseOptions &options() const { return options_; }

private:
    pid_t start(const std::vector<std::string> &arguments, const std::string &logName) const;
    void startProcess(Server &server);
    void registerServer(const Server &server);
    void heartbeat();

    CaseOptions options_;
    Record record_;
    // Its threads and that of the heartbeats use these until the process ends.
    Store &store_ = *new Store();
    std::map<std::string, std::string> values_;
    std::mutex mutex_;
    std::map<std::string, Server> servers_;
    std::map<std::string, Router> routers_;
    std::atomic<bool> isStopping_{false};
    std::thread heartbeats_;
};

/// Runs a server stand-in until it is killed.
int runServer(const std::map<std::string, std::string> &options);

} // namespace review
