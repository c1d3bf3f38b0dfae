#pragma once

#include "integration/HttpCall.h"
#include "integration/Process.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagecourse::test {

/// Composition and settings of a test fleet.
struct FleetOptions
{
    int entries = 2;
    int engines = 2;
    int desks = 1;
    /// Connects entries, agents and the platform through the fault proxy.
    bool proxied = false;
    unsigned seed = 1;
    /// Client accounts and their shares; the API key of account "a" is "a-key".
    std::vector<std::pair<std::string, double>> accounts{{"a", 1}, {"b", 1}};
    /// Further TOML fields of the services in the first note.
    std::string chatFields;
    std::string bookingFields;
    /// Command-line options of the stand-ins.
    std::vector<std::string> engineOptions;
    std::vector<std::string> deskOptions;
    std::vector<std::string> platformOptions;
    /// Endpoints of servers that the test itself runs, by name; they serve bookings and trials.
    std::map<std::string, std::string> scriptedServers;
    /// TOML lines that are added to the settings of all daemons.
    std::string settings;
    int maxLimit = 64;
};

/// Platform, stand-ins, entries and agents as real processes on loopback. Server names are
/// "engine-1" and "desk-1" and so on; the agent of "engine-1" is "agent-engine-1".
class Fleet
{
public:
    /// Starts all processes, submits the first note and waits until every entry can use every
    /// server. Throws std::runtime_error if this takes too long.
    explicit Fleet(FleetOptions options);
    ~Fleet();

    // Requests of callers.
    HttpOutcome chat(int entry, const std::string &account, const std::string &prompt,
                     int maxTokens, bool stream, const std::string &requestId = {}) const;
    HttpOutcome book(int entry, const std::string &account, const std::string &key,
                     std::chrono::milliseconds deadline,
                     const std::string &body = "{\"pickup\":1}") const;

    // Processes, by name: "platform", "entry-1", "agent-engine-1", "engine-1".
    Process &process(const std::string &name);
    /// Kills a process, if it still runs, and starts it again with the same settings.
    void restart(const std::string &name);
    /// Starts a further process with the settings of another one; the given settings are replaced.
    void startCopy(const std::string &name, const std::string &copyName,
                   const std::map<std::string, std::string> &replacedSettings);

    /// Unused loopback address, for the settings of a copy.
    static std::string freeEndpoint();

    // State.
    std::string entryUrl(int entry) const;
    /// "a.b.c.d:port" of "entry-1", "entry-1/admin", "entry-1/datagrams" or "agent-desk-1/links".
    std::string address(const std::string &name) const { return endpoints_.at(name); }
    nlohmann::json status(const std::string &daemon) const;
    /// Value of a counter or gauge; 0 if missing. The name includes labels: "name{reason=\"x\"}".
    double metric(const std::string &daemon, const std::string &name) const;
    /// True if the entry is ready and can use the server.
    bool isUsable(int entry, const std::string &server) const;
    bool waitUntilUsable(std::chrono::milliseconds limit) const;
    bool waitUntilUsable(int entry, const std::string &server,
                         std::chrono::milliseconds limit) const;
    nlohmann::json journal(const std::string &server) const;
    /// Orders that an engine has accepted, oldest first.
    nlohmann::json acceptedOrders(const std::string &engine) const;
    bool control(const std::string &standin, const nlohmann::json &command) const;
    bool setHostState(const std::string &host, const std::string &state) const;

    // Faults between processes. A proxy mapping is named "<from>><to>", such as
    // "entry-1>agent-engine-1/links" or "agent-engine-1>platform"; "*" names all mappings.
    bool setFault(const std::string &mapping, const nlohmann::json &rules) const;
    /// Sets the rules of every mapping whose name starts with the prefix.
    bool setFaults(const std::string &prefix, const nlohmann::json &rules) const;

    // Notes.
    CommandResult submitNote(const std::string &toml) const;
    CommandResult note(const std::vector<std::string> &arguments) const;
    std::string platformUrl() const;
    /// Names of all entries and agents.
    std::vector<std::string> daemons() const;
    std::string folder() const { return folder_; }

private:
    struct Member
    {
        std::vector<std::string> command;
        std::unique_ptr<Process> process;
    };

    std::string endpoint(const std::string &name);
    std::string proxyEndpoint(const std::string &from, const std::string &to,
                              const std::string &protocol);
    void addServer(const std::string &name, const std::string &kind,
                   const std::vector<std::string> &options);
    void writeSettings(const std::string &name, const std::string &lines);
    void writeEntrySettings(const std::string &name);
    void writeAgentSettings(const std::string &server);
    void startProxy();
    void start(const std::string &name, const std::vector<std::string> &command);
    std::string firstNote() const;

    FleetOptions options_;
    std::string folder_;
    std::map<std::string, std::string> endpoints_;
    std::vector<std::string> servers_;
    std::vector<std::string> entries_;
    /// Listening address and target of each proxy mapping, by name.
    std::map<std::string, std::pair<std::string, std::string>> mappings_;
    std::map<std::string, Member> members_;
};

} // namespace lovagecourse::test
