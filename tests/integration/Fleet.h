#pragma once

#include "integration/HttpCall.h"
#include "integration/Process.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovagecourse::test {

/// What a test's fleet consists of.
struct FleetOptions
{
    int entries = 2;
    int engines = 2;
    int desks = 1;
    /// Puts the fault proxy between entries, agents and the platform.
    bool proxied = false;
    unsigned seed = 1;
    /// Client accounts and their shares; the key of account "a" is "a-key".
    std::vector<std::pair<std::string, double>> accounts{{"a", 1}, {"b", 1}};
    /// Fields of the added services, in TOML, beyond name, path and kind.
    std::string chatFields;
    std::string bookingFields;
    /// Options of the stand-ins.
    std::vector<std::string> engineOptions;
    std::vector<std::string> deskOptions;
    std::vector<std::string> platformOptions;
    /// Lines for the settings of all daemons.
    std::string settings;
    int maxLimit = 64;
};

/// Platform, stand-ins, entries and agents as real processes on loopback. Server names are
/// "engine-1" and "desk-1" and so on; the agent of "engine-1" is "agent-engine-1".
class Fleet
{
public:
    /// Starts all, submits the first note and waits until every entry reaches every server.
    explicit Fleet(FleetOptions options);
    ~Fleet();

    // Callers.
    HttpOutcome chat(int entry, const std::string &account, const std::string &prompt,
                     int maxTokens, bool stream, const std::string &requestId = {}) const;
    HttpOutcome book(int entry, const std::string &account, const std::string &key,
                     std::chrono::milliseconds deadline,
                     const std::string &body = "{\"pickup\":1}") const;

    // Processes; names are "platform", "entry-1", "agent-engine-1", "engine-1".
    Process &process(const std::string &name);
    /// Starts a process again that has ended, with its former settings.
    void restart(const std::string &name);
    /// Starts a second process with another process's settings changed by a further one.
    void startCopy(const std::string &name, const std::string &copyName,
                   const std::map<std::string, std::string> &replacedSettings);

    /// Free address, for the settings of a copy.
    static std::string freeEndpoint();

    // State.
    std::string entryUrl(int entry) const;
    /// "a.b.c.d:port" of "entry-1", "entry-1/admin", "entry-1/datagrams" or "agent-desk-1/links".
    std::string address(const std::string &name) const { return endpoints_.at(name); }
    nlohmann::json status(const std::string &daemon) const;
    /// Value of a counter or gauge; with braces for a reason: "name{reason=\"x\"}".
    double metric(const std::string &daemon, const std::string &name) const;
    /// True when the entry can use the server.
    bool isUsable(int entry, const std::string &server) const;
    bool waitUsable(std::chrono::milliseconds limit) const;
    bool waitUsable(int entry, const std::string &server, std::chrono::milliseconds limit) const;
    nlohmann::json journal(const std::string &server) const;
    /// Orders that an engine acted on, in order.
    nlohmann::json takenOrders(const std::string &engine) const;
    bool control(const std::string &standin, const nlohmann::json &command) const;
    bool setHostState(const std::string &host, const std::string &state) const;

    // Faults between processes; a map is named "<from>><to>" such as "entry-1>agent-engine-1" or
    // "agent-engine-1>platform"; "*" is all.
    bool setFault(const std::string &map, const nlohmann::json &rules) const;
    /// Every map that begins with the text.
    bool setFaults(const std::string &beginning, const nlohmann::json &rules) const;

    // Notes.
    CommandResult submitNote(const std::string &toml) const;
    CommandResult note(const std::vector<std::string> &arguments) const;
    std::string platformUrl() const;
    /// Names of all daemons.
    std::vector<std::string> daemons() const;
    std::string folder() const { return folder_; }

private:
    struct Member
    {
        std::vector<std::string> command;
        std::unique_ptr<Process> process;
    };

    std::string endpoint(const std::string &name);
    std::string proxied(const std::string &from, const std::string &to,
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
    /// Listening address and target per map of the proxy.
    std::map<std::string, std::pair<std::string, std::string>> maps_;
    std::map<std::string, Member> members_;
};

} // namespace lovagecourse::test
