#include "app/CommandLine.h"

#include "agent/AgentNode.h"
#include "app/CheckCommand.h"
#include "app/FairnessCommand.h"
#include "app/KeyCommands.h"
#include "app/NoteCommands.h"
#include "app/StatusCommand.h"
#include "core/Log.h"
#include "direct/RouterNode.h"
#include "entry/EntryNode.h"
#include "platform/Binding.h"
#include "settings/DaemonSettings.h"
#include "settings/RouterSettings.h"

#include <cxxopts.hpp>

#include <csignal>
#include <cstring>
#include <iostream>
#include <optional>
#include <string_view>

namespace lovagecourse {

namespace {

constexpr int exitFailure = 1;

constexpr std::string_view usage = R"(usage: lovagecourse <command> [options]

  entry  --settings FILE [--check]   run an entry, a router process that needs agents
  agent  --settings FILE [--check]   run the agent of a backend server
  router --settings FILE [--check]   run a router process that needs no agents
  note   submit FILE | list | show N | state | history
                                     submit release notes, show the configuration
  keys   unsettled | settle ACCOUNT KEY ran|not-run
                                     list or settle requests that may have run
  status --admin ADDRESS [--json]    print the status of a running process
  check  FILE [--against FILE] [--settings FILE] [--json]
                                     check a configuration before it is sent to routers
  fairness FILE... [--accounts N]    compare from logs what accounts obtained with their due
)";

void printFaults(const std::vector<SettingsFault> &faults)
{
    for (const SettingsFault &fault : faults)
        std::cerr << toString(fault) << '\n';
}

/// Opens a node and runs its event loop until it stops. Returns the process's exit code.
template <class Node, class Settings, class... Dependencies>
int runNode(const Settings &settings, Dependencies... dependencies)
{
    EventLoop loop;
    const SystemClock clock;
    auto opened = Node::open(loop, clock, settings, std::move(dependencies)...);
    if (const auto *failure = std::get_if<SocketFailure>(&opened)) {
        std::cerr << "lovagecourse: cannot open a socket: " << std::strerror(failure->error)
                  << '\n';
        return exitFailure;
    }
    logInfo(LogPart::App, "started");
    loop.run();
    logInfo(LogPart::App, "stopped");
    flushLog();
    return 0;
}

/// Options of the commands entry, agent and router.
struct DaemonOptions
{
    std::string file;
    bool onlyCheck = false;
};

/// Parses the options; prints an error and returns nothing if they are invalid.
std::optional<DaemonOptions> parseDaemonOptions(int argc, char **argv)
{
    cxxopts::Options options("lovagecourse");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())(
            "check", "only check the settings, then exit");
    try {
        const auto parsed = options.parse(argc, argv);
        return DaemonOptions{parsed["settings"].as<std::string>(), parsed.count("check") > 0};
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "lovagecourse: " << error.what() << '\n' << usage;
        return std::nullopt;
    }
}

int runDaemon(DaemonRole role, int argc, char **argv)
{
    const auto options = parseDaemonOptions(argc, argv);
    if (!options)
        return exitUsage;
    const SettingsResult settings = readSettings(options->file, role);
    if (const auto *faults = std::get_if<std::vector<SettingsFault>>(&settings)) {
        printFaults(*faults);
        return exitUsage;
    }
    const auto &checked = std::get<DaemonSettings>(settings);
    const std::vector<SettingsFault> addressFaults = checkAddresses(checked, options->file);
    if (!addressFaults.empty()) {
        printFaults(addressFaults);
        return exitUsage;
    }
    if (options->onlyCheck)
        return 0;
    startLog(checked.logLevel, checked.logFormat, checked.name.value);
    return role == DaemonRole::Entry ? runNode<EntryNode>(checked) : runNode<AgentNode>(checked);
}

int runRouter(int argc, char **argv)
{
    const auto options = parseDaemonOptions(argc, argv);
    if (!options)
        return exitUsage;
    const RouterSettingsResult settings = readRouterSettings(options->file);
    if (const auto *faults = std::get_if<std::vector<SettingsFault>>(&settings)) {
        printFaults(*faults);
        return exitUsage;
    }
    const auto &checked = std::get<RouterSettings>(settings);
    if (options->onlyCheck)
        return 0;
    startLog(checked.logLevel, LogFormat::Events, checked.name.value);
    return runNode<RouterNode>(checked, platform::makeBinding());
}

} // namespace

int runCommandLine(int argc, char **argv)
{
    // A write to a connection that the peer has closed must fail with EPIPE, not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "entry")
        return runDaemon(DaemonRole::Entry, argc - 1, argv + 1);
    if (command == "agent")
        return runDaemon(DaemonRole::Agent, argc - 1, argv + 1);
    if (command == "router")
        return runRouter(argc - 1, argv + 1);
    if (command == "note")
        return runNoteCommand(argc - 1, argv + 1);
    if (command == "keys")
        return runKeyCommand(argc - 1, argv + 1);
    if (command == "status")
        return runStatusCommand(argc - 1, argv + 1);
    if (command == "check")
        return runCheckCommand(argc - 1, argv + 1);
    if (command == "fairness")
        return runFairnessCommand(argc - 1, argv + 1);
    const bool wantsHelp = command == "--help" || command == "help";
    (wantsHelp ? std::cout : std::cerr) << usage;
    return wantsHelp ? 0 : exitUsage;
}

} // namespace lovagecourse
