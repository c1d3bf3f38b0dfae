#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lovagecourse {

/// What a measured fleet consists of.
struct MeasureFleetOptions
{
    std::string binary;
    std::string standins;
    std::string folder;
    int entries = 3;
    int engines = 20;
    int desks = 3;
    int dataCentres = 3;
    /// Lines of the [policy] section.
    std::string policy;
    /// Delay between entries and agents; 0 goes without the proxy.
    double delayMs = 1;
    std::vector<std::string> engineOptions;
    /// Accounts and shares; the key of account "a" is "a-key".
    std::vector<std::pair<std::string, double>> accounts;
    int maxLimit = 32;
};

/// Processes of one measurement on loopback; killed when it goes out of scope.
class MeasureFleet
{
public:
    explicit MeasureFleet(MeasureFleetOptions options);
    ~MeasureFleet();
    MeasureFleet(const MeasureFleet &) = delete;
    MeasureFleet &operator=(const MeasureFleet &) = delete;

    /// Starts all and waits until every entry can use every server; false when that fails.
    bool start();
    std::string entryUrl(int entry) const;
    std::string engineUrl(int engine) const;
    /// Changes a stand-in's behaviour.
    bool control(int engine, const nlohmann::json &command) const;
    /// A metric of every daemon, by its name.
    std::map<std::string, double> metrics(const std::string &name) const;
    /// Starts a load tool whose report is read by report().
    void startLoad(const std::string &name, const std::vector<std::string> &arguments);
    /// Waits for a load tool and reads its report.
    nlohmann::json report(const std::string &name);

private:
    std::string address(const std::string &name);
    std::string routed(const std::string &from, const std::string &to);
    void spawn(const std::string &name, const std::vector<std::string> &command);
    int wait(const std::string &name);
    void writeSettings(const std::string &name, int dataCentre, const std::string &lines);
    void writeAllSettings();
    bool startProxy();
    bool submitNote();
    bool allUsable() const;

    MeasureFleetOptions options_;
    std::vector<std::string> servers_;
    std::vector<std::string> entries_;
    std::map<std::string, std::string> addresses_;
    /// Listening address and target of the proxy's maps.
    std::map<std::string, std::string> maps_;
    std::map<std::string, pid_t> processes_;
};

/// GET or, with a body, POST; empty when the answer is not a 2xx.
std::string fetchText(const std::string &url, const std::string &body = {});

} // namespace lovagecourse
