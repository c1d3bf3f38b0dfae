#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lovagecourse {

/// Programs, sizes and settings of a fleet under measurement.
struct MeasureFleetOptions
{
    /// Path of the lovagecourse program.
    std::string binary;
    /// Path of the stand-ins' program.
    std::string standins;
    /// Folder for settings, logs and load reports.
    std::string folder;
    int entries = 3;
    int engines = 20;
    int desks = 3;
    int dataCentres = 3;
    /// Lines of the [policy] section in the settings of every daemon.
    std::string policy;
    /// Delay of the links from entries to agents, plus up to the same again as jitter; 0 connects
    /// them without the fault proxy.
    double delayMs = 1;
    std::vector<std::string> engineOptions;
    /// Client accounts and their shares; the API key of account "a" is "a-key".
    std::vector<std::pair<std::string, double>> accounts;
    /// Upper bound of each server's concurrency limit.
    int maxLimit = 32;
};

/// Processes of a fleet on the loopback interface; the destructor kills them.
class MeasureFleet
{
public:
    explicit MeasureFleet(MeasureFleetOptions options);
    ~MeasureFleet();
    MeasureFleet(const MeasureFleet &) = delete;
    MeasureFleet &operator=(const MeasureFleet &) = delete;

    /// Starts all processes and waits until every entry can use every server; false on failure
    /// or timeout.
    bool start();
    std::string entryUrl(int entry) const;
    std::string serverUrl(const std::string &server) const;
    /// Posts a control command to an engine; false if it does not answer with a 2xx status.
    bool control(int engine, const nlohmann::json &command) const;
    /// Value of a metric, summed over its labels, by daemon name.
    std::map<std::string, double> metrics(const std::string &name) const;
    /// Starts a load tool under a name that report() accepts.
    void startLoad(const std::string &name, const std::vector<std::string> &arguments);
    /// Waits until a load tool exits and returns its report.
    nlohmann::json report(const std::string &name);

private:
    /// Address of an endpoint; the first call allocates a free port.
    std::string address(const std::string &name);
    /// Listening address of a proxy mapping from one process to an endpoint.
    std::string proxiedAddress(const std::string &from, const std::string &to);
    void spawn(const std::string &name, const std::vector<std::string> &command);
    int wait(const std::string &name);
    void writeSettings(const std::string &name, int dataCentre, const std::string &lines);
    void writeAllSettings();
    bool startProxy();
    bool submitNote();
    bool allServersUsable() const;

    MeasureFleetOptions options_;
    std::vector<std::string> servers_;
    std::vector<std::string> entries_;
    std::map<std::string, std::string> addresses_;
    /// Target of each listening address of the fault proxy.
    std::map<std::string, std::string> proxyMappings_;
    std::map<std::string, pid_t> processes_;
};

/// Sends a GET or, with a body, a POST; returns the response body, empty on an error.
std::string fetchText(const std::string &url, const std::string &body = {});

} // namespace lovagecourse
